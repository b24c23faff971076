/// \file
/// Reads answers of other processes. Checks what their parser accepts although
/// HTTP/1.1 does not allow it.

#ifndef TAMARACKDRUM_ANSWER_READER_H
#define TAMARACKDRUM_ANSWER_READER_H

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <optional>
#include <vector>

namespace tamarackdrum {

/// Returns an error if \p Head is that of no answer: the parser takes any three
/// digits for a status.
inline boost::system::error_code
checkHead(const boost::beast::http::response_header<> &Head) {
  constexpr unsigned FirstStatus = 100;
  constexpr unsigned LastStatus = 599;
  const unsigned Status = Head.result_int();
  if (Status < FirstStatus || Status > LastStatus)
    return boost::beast::http::error::bad_status;
  return {};
}

/// The fields of a head before the next part of a message is read. The parser
/// adds those of a trailer, which RFC 9110, 6.5.1, allows only if each is known
/// to be meant so.
class HeadFields {
public:
  using Fields = boost::beast::http::fields;

  explicit HeadFields(const Fields &Head) {
    for (const Fields::value_type &Item : Head)
      m_items.push_back(&Item);
  }

  /// Removes the fields that were added to \p Head meanwhile.
  void restore(Fields &Head) const {
    for (auto Item = Head.begin(); Item != Head.end();) {
      const bool IsKnown =
          std::find(m_items.begin(), m_items.end(), &*Item) != m_items.end();
      Item = IsKnown ? std::next(Item) : Head.erase(Item);
    }
  }

private:
  std::vector<const Fields::value_type *> m_items;
};

/// Reads the next part of an answer into \p Answer, which must not be eager: an
/// eager parser reads on as long as the bytes end within a chunk line. Errors:
/// those of the parser, of checkHead() and of the system.
template <typename Stream, typename Buffer, typename Body>
boost::asio::awaitable<boost::system::error_code>
readSome(Stream &From, Buffer &Unparsed,
         boost::beast::http::response_parser<Body> &Answer) {
  const bool HadHead = Answer.is_header_done();
  std::optional<HeadFields> Head;
  if (HadHead && Answer.chunked())
    Head.emplace(Answer.get());
  const auto [Error, Count] = co_await boost::beast::http::async_read_some(
      From, Unparsed, Answer,
      boost::asio::as_tuple(boost::asio::use_awaitable));
  // A buffer_body is full, which ends no read.
  if (Error && Error != boost::beast::http::error::need_buffer)
    co_return Error;
  if (Head)
    Head->restore(Answer.get());
  if (!HadHead && Answer.is_header_done())
    co_return checkHead(Answer.get());
  co_return boost::system::error_code();
}

} // namespace tamarackdrum

#endif // TAMARACKDRUM_ANSWER_READER_H
