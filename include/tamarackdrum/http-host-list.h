/// \file
/// The platform's host list over HTTP: GET /v1/hosts answers
/// {"hosts": [{"name": NAME, "state": "live" or "leaving"}]}.

#ifndef TAMARACKDRUM_HTTP_HOST_LIST_H
#define TAMARACKDRUM_HTTP_HOST_LIST_H

#include "tamarackdrum/host-list.h"
#include "tamarackdrum/http.h"

namespace tamarackdrum {

/// Client of the host list.
class HttpHostList : public HostList {
public:
  HttpHostList(HttpClient &Client, Endpoint Service, std::string ClientName,
               Millis Timeout)
      : m_client(Client), m_service(Service),
        m_clientName(std::move(ClientName)), m_timeout(Timeout) {}

  boost::asio::awaitable<Result<std::set<std::string>>> read() override;

private:
  HttpClient &m_client;
  const Endpoint m_service;
  const std::string m_clientName;
  const Millis m_timeout;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_HTTP_HOST_LIST_H
