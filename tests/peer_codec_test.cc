#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "damaskroute/peer/datagram_codec.h"
#include "damaskroute/peer/message_codec.h"
#include "damaskroute/peer/replay_window.h"

namespace damaskroute {
namespace {

const PeerKey kOldKey{1, "old secret of 16 bytes"};
const PeerKey kNewKey{2, "new secret of 16 bytes"};

PeerDatagram SampleDatagram() {
  Member member{"node-1", "zone-a", {"127.0.0.1", 7000}, 5, 1, MemberState::kSuspect};
  return {DatagramKind::kIndirectProbe,
          9,
          8,
          member,
          {"127.0.0.2", 7001},
          3,
          4,
          std::chrono::seconds(1),
          {member, member}};
}

ShardBatch SampleBatch() {
  return {1,
          "request",
          "ledger",
          3,
          std::chrono::milliseconds(50),
          Priority::kBulk,
          4,
          "{}",
          {{1, 0, "b1", {0, 10}}, {2, 1, "b2", {10, 20}}}};
}

TEST_CASE("each message type round-trips, and truncated or extended encodings are rejected") {
  Member member{"node-1", "zone-a", {"127.0.0.1", 7000}, 5, 1, MemberState::kLeft};
  ConfigData data{5, 6, 4, "", {"delta"}};
  std::chrono::milliseconds left(50);
  ShareKey share{"b", ShareHalf::kSecond};
  ShareEpoch epoch{1, 2, "n"};
  std::vector<Message> messages{
      SampleBatch(),
      ShardReply{1, 2, 0, "b", ShardOutcome::kRows, 3, {0, 5}, "1", 4, 5},
      CancelCalls{1, {2, 3}},
      BackendReport{"n", 1, "s", "b", 2, BackendState::kWarm, 3, {{}, {}}},
      WarmGrant{"b", 7, 2, left},
      ShareRelease{share, epoch, 1, 2, 3, 4},
      ForwardQuery{1, "f", "r", left, Priority::kBulk, "{}"},
      ForwardReply{1, 200, "{}"},
      ForwardAction{1, "f", "a", left, "{}"},
      ActionReply{1, Verdict::kRan, 200, "{}"},
      RunAction{1, "a", "s", "b", left, 2, "{}"},
      ActionResult{1, Verdict::kRan, ShardOutcome::kShed, "{}", 2},
      CrashReport{1, true, "s", "b", 2},
      ConfigAnnounce{1, 2},
      ConfigPull{1, 2},
      data,
      RosterAnnounce{"z", {1, 2}},
      RosterPull{"z", {1, 2}},
      RosterData{"z", data},
      MembersPull{member},
      MembersData{{member, member}},
      ShareReleaseAck{share, epoch, 2},
      ShareClaim{share, epoch, 1},
      ShareClaimReply{share, epoch, 1, 2, ClaimStatus::kHeld, 3, epoch},
      WarmQuery{"b", 1, 2},
      CrashRefutation{"s", "b", 2}};
  REQUIRE(messages.size() == std::variant_size_v<Message>);
  for (const Message& message : messages) {
    CAPTURE(message.index());
    std::string bytes = EncodeMessage(message);
    auto decoded = DecodeMessage(bytes);
    REQUIRE(decoded.ok());
    CHECK(decoded->index() == message.index());
    CHECK(EncodeMessage(*decoded) == bytes);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(DecodeMessage(bytes.substr(0, size)).ok());
    }
    CHECK_FALSE(DecodeMessage(bytes + '\0').ok());
  }
}

TEST_CASE("fields outside their limits are rejected, so handlers need not check them") {
  auto rejected = [](const auto& change) {
    ShardBatch batch = SampleBatch();
    change(batch);
    return !DecodeMessage(EncodeMessage(batch)).ok();
  };
  CHECK_FALSE(rejected([](ShardBatch&) {}));
  CHECK(rejected([](ShardBatch& b) { b.time_left = std::chrono::microseconds(-1); }));
  CHECK(rejected([](ShardBatch& b) { b.time_left = std::chrono::hours(2); }));
  CHECK(rejected([](ShardBatch& b) { b.priority = static_cast<Priority>(3); }));
  CHECK(rejected([](ShardBatch& b) { b.service.assign(kMaxNameSize + 1, 'x'); }));
  CHECK(rejected([](ShardBatch& b) { b.calls[0].range = {5, kKeySpaceSize + 1}; }));
  CHECK(rejected([](ShardBatch& b) { b.calls[0].range = {6, 5}; }));
}

TEST_CASE("a claimed size beyond the input is rejected before memory is allocated for it") {
  std::string bytes = EncodeMessage(CancelCalls{1, {2}});
  std::size_t size_at = 2 + 8;  // After type, byte order and query id.
  for (char high : {'\x01', '\x7f', '\xff'}) {
    std::string forged = bytes;
    forged[size_at + 7] = high;
    CHECK_FALSE(DecodeMessage(forged).ok());
  }
}

TEST_CASE("datagrams are rejected if altered, truncated, extended, too long or of unknown key") {
  DatagramCodec codec({kOldKey, kNewKey});
  std::string bytes = codec.Encode(SampleDatagram()).value();
  CHECK(bytes.size() == DatagramSize(SampleDatagram()));
  CHECK(codec.Decode(bytes).value() == SampleDatagram());
  CHECK(DatagramCodec({kNewKey, kOldKey}).Decode(bytes).ok());
  CHECK_FALSE(DatagramCodec({kNewKey, {}}).Decode(bytes).ok());
  CHECK_FALSE(DatagramCodec({{1, "another secret, 16 bytes"}, {}}).Decode(bytes).ok());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string altered = bytes;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    CHECK_FALSE(codec.Decode(altered).ok());
    CHECK_FALSE(codec.Decode(bytes.substr(0, i)).ok());
  }
  CHECK_FALSE(codec.Decode(bytes + 'x').ok());
  PeerDatagram big = SampleDatagram();
  big.updates.resize(40, big.sender);
  CHECK_FALSE(codec.Encode(big).ok());
}

TEST_CASE("the replay window accepts each sequence number once, in any order within 64 numbers") {
  ReplayWindow window(2);
  CHECK(window.Accept("a", 1, 100));
  CHECK_FALSE(window.Accept("a", 1, 100));
  CHECK(window.Accept("a", 1, 163));
  CHECK_FALSE(window.Accept("a", 1, 100));
  CHECK(window.Accept("a", 1, 101));
  CHECK_FALSE(window.Accept("a", 1, 101));
  CHECK_FALSE(window.Accept("a", 1, 99));
  CHECK(window.Accept("a", 1, 1000));
  CHECK_FALSE(window.Accept("a", 1, 163));
  CHECK(window.Accept("a", 2, 1));  // The sender restarted.
  CHECK_FALSE(window.Accept("a", 1, 2000));
  CHECK(window.Accept("b", 1, 1));
  CHECK_FALSE(window.Accept("c", 1, 1));  // The number of senders is limited to 2.
  window.Forget("b");
  CHECK(window.Accept("c", 1, 1));
}

}  // namespace
}  // namespace damaskroute
