/// \file
/// Bad input is refused with a type and disturbs nothing else.

#include "site.h"

#include <gtest/gtest.h>

namespace tamarackdrum::test {
namespace {

namespace http = boost::beast::http;

/// One host and one server of a keyed class.
class BadInputTest : public testing::Test {
protected:
  BadInputTest() {
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    m_site.declareClass(Stock);
    m_site.addServer("stock-0", "stock");
    m_site.startHosts(1);
  }

  /// Sends \p Bytes as they are and returns what comes back.
  std::string sendRaw(const std::string &Bytes) {
    boost::asio::io_context Context;
    boost::asio::ip::tcp::socket Socket(Context);
    Socket.connect({boost::asio::ip::address_v4::loopback(),
                    m_site.hosts()[0].m_callerPort});
    boost::system::error_code Error;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Error);
    std::string Answer;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Error);
    return Answer;
  }

  unsigned control(const std::map<std::string, std::string> &Headers) {
    const std::optional<HttpResponse> Reply =
        fetch(m_site.hosts()[0].m_controlPort, http::verb::post, "/rpc/peer",
              "{}", Headers);
    return Reply ? Reply->result_int() : 0;
  }

  void expectServed() {
    const std::optional<HttpResponse> Answer = m_site.call(0, "/stock/sheet-1");
    ASSERT_TRUE(Answer);
    EXPECT_EQ(Answer->result_int(), 200U);
  }

  Site m_site;
};

TEST_F(BadInputTest, MalformedOrOversizedCall_IsRefusedAsNotRun) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::string Malformed = sendRaw("NOT HTTP AT ALL\r\n\r\n");
  EXPECT_TRUE(Malformed.starts_with("HTTP/1.1 400")) << Malformed;
  EXPECT_NE(Malformed.find("not-run"), std::string::npos);
  const std::string LongHeader(64UL * 1024, 'x');
  const std::string Header =
      sendRaw("GET /stock/a HTTP/1.1\r\nX: " + LongHeader + "\r\n\r\n");
  EXPECT_TRUE(Header.starts_with("HTTP/1.1 431")) << Header;
  const std::string Body = sendRaw(
      "POST /stock/a HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n");
  EXPECT_TRUE(Body.starts_with("HTTP/1.1 413")) << Body;
  expectServed();
  EXPECT_EQ(m_site.records(0).size(), 1U);
}

TEST_F(BadInputTest, UnknownClassOrAbsentKey_IsRefusedWithItsReason) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::optional<HttpResponse> Unknown = m_site.call(0, "/none/a");
  ASSERT_TRUE(Unknown);
  EXPECT_EQ(Unknown->result_int(), 404U);
  EXPECT_EQ((*Unknown)["Tamarack-Reason"], "unknown-class");
  const std::optional<HttpResponse> Absent = m_site.call(0, "/stock");
  ASSERT_TRUE(Absent);
  EXPECT_EQ(Absent->result_int(), 400U);
  EXPECT_EQ((*Absent)["Tamarack-Reason"], "key-missing");
  expectServed();
}

TEST_F(BadInputTest, ControlCall_OfWrongKeyOrVersion_IsRefused) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::string Key = std::string("Bearer ") + SharedKey;
  EXPECT_EQ(control({{"Tamarack-Version", "1"}}), 401U);
  EXPECT_EQ(control({{"Tamarack-Version", "1"}, {"Authorization", "Bearer x"}}),
            401U);
  EXPECT_EQ(control({{"Tamarack-Version", "0"}, {"Authorization", Key}}), 426U);
  EXPECT_EQ(control({{"Tamarack-Version", "1"}, {"Authorization", Key}}), 200U);
  expectServed();
}

} // namespace
} // namespace tamarackdrum::test
