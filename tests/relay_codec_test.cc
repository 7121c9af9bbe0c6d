#include <doctest/doctest.h>

#include "damaskroute/relay/node_record.h"
#include "damaskroute/relay/relayed_page.h"

namespace damaskroute {
namespace {

RelayedPage Sample() {
  RelayedPage relayed;
  relayed.age = std::chrono::microseconds(1234);
  relayed.held = std::chrono::microseconds(99);
  relayed.page.as_of = 77;
  relayed.page.era = 3;
  relayed.page.after_outage = true;
  relayed.page.items = {{"servers/i-1", std::string("\0\xff{", 3), 76, false},
                        {"servers/i-2", "", 77, true}};
  return relayed;
}

TEST_CASE("a page survives encoding and decoding") {
  auto copy = DecodeRelayedPage(EncodeRelayedPage(Sample()));
  REQUIRE(copy.ok());
  CHECK(copy->age == Sample().age);
  CHECK(copy->held == Sample().held);
  CHECK(copy->page.as_of == 77);
  CHECK(copy->page.era == 3);
  CHECK(copy->page.after_outage);
  REQUIRE(copy->page.items.size() == 2);
  CHECK(copy->page.items[0].value == Sample().page.items[0].value);
  CHECK(copy->page.items[1].removed);
  CHECK(copy->page.items[1].revision == 77);
}

// Guards against pages that a partition delays for seconds: counted as fresh, such a page would
// keep the node on state from before the partition.
TEST_CASE("the age of a page includes its network delay") {
  RelayedPage relayed;
  relayed.age = std::chrono::milliseconds(200);
  relayed.held = std::chrono::milliseconds(1500);
  TimePoint sent = ManualClock().Now();
  CHECK(AgeOnArrival(relayed, sent, sent + std::chrono::milliseconds(4500)) ==
        std::chrono::milliseconds(3200));
  // The clocks of two machines may drift by a little.
  CHECK(AgeOnArrival(relayed, sent, sent + std::chrono::milliseconds(1499)) ==
        std::chrono::milliseconds(200));
}

// Guards against a truncated page that is taken for a complete one.
TEST_CASE("bytes that are not exactly one page are an error") {
  std::string bytes = EncodeRelayedPage(Sample());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeRelayedPage(bytes.substr(0, size)).ok());
  }
  CHECK_FALSE(DecodeRelayedPage(bytes + "x").ok());
  std::string other_format = bytes;
  other_format[1] = 9;
  CHECK_FALSE(DecodeRelayedPage(other_format).ok());
}

TEST_CASE("a node record holds the zone and the endpoint for followers") {
  NodeRecord record{"zone-a", Endpoint{"10.1.0.9", 7381}};
  auto copy = ParseNodeRecord(RenderNodeRecord(record));
  REQUIRE(copy.ok());
  CHECK(*copy == record);
  record.relay_endpoint.reset();
  CHECK(*ParseNodeRecord(RenderNodeRecord(record)) == record);
}

TEST_CASE("an invalid record is an error") {
  for (const char* text : {"", "{", "[]", "{}", R"({"zone":1})", R"({"zone":"a","changes":1})",
                           R"({"zone":"a","changes":"host"})"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseNodeRecord(text).ok());
  }
}

}  // namespace
}  // namespace damaskroute
