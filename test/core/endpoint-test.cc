#include "tamarackdrum/endpoint.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

TEST(EndpointTest, AddressAndPort_IsParsed) {
  const Result<Endpoint> Parsed = parseEndpoint("10.1.2.3:8080");
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed.value().address().to_string(), "10.1.2.3");
  EXPECT_EQ(Parsed.value().port(), 8080);
}

TEST(EndpointTest, NoAddressOrNoPort_IsRejected) {
  for (const char *Text :
       {"", ":", "10.1.2.3", "10.1.2.3:", "host:80", "10.1.2.3:65536",
        "10.1.2.3:+80", "10.1.2.3:80 ", "10.1.2.3: 80", "10.1.2.3:80x"})
    EXPECT_EQ(parseEndpoint(Text).error(), std::errc::invalid_argument) << Text;
}

} // namespace
} // namespace tamarackdrum
