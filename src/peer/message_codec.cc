#include "damaskroute/peer/message_codec.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <utility>

#include "damaskroute/core/binary_writer.h"
#include "damaskroute/peer/bounded_input_archive.h"
#include "message_fields.h"

namespace damaskroute {
namespace {

template <typename Enum>
bool InEnum(Enum value, Enum last) {
  return static_cast<unsigned>(value) <= static_cast<unsigned>(last);
}

bool ValidName(const std::string& name) { return name.size() <= kMaxNameSize; }

template <typename Time>
bool ValidTime(Time time) {
  return time >= Time::zero() && time <= kMaxMessageDuration;
}

bool ValidStatus(int status) { return status >= 100 && status <= 599; }

bool ValidRange(const KeyRange& range) {
  return range.low <= range.high && range.high <= kKeySpaceSize;
}

bool Valid(const ShardBatch& m) {
  for (const ShardCall& call : m.calls) {
    if (!ValidName(call.backend) || !ValidRange(call.range)) return false;
  }
  return ValidName(m.request_id) && ValidName(m.service) && ValidTime(m.time_left) &&
         InEnum(m.priority, Priority::kBulk);
}
bool Valid(const ShardReply& m) {
  return ValidName(m.backend) && InEnum(m.outcome, ShardOutcome::kBadAnswer) && ValidRange(m.range);
}
bool Valid(const CancelCalls&) { return true; }
bool Valid(const BackendReport& m) {
  for (const HeldRange& held : m.held) {
    if (!ValidRange(held.range)) return false;
  }
  return ValidName(m.holder) && ValidName(m.service) && ValidName(m.backend) &&
         InEnum(m.state, BackendState::kDown);
}
bool Valid(const WarmGrant& m) { return ValidName(m.backend) && ValidTime(m.validity); }
bool Valid(const ShareKey& m) { return ValidName(m.backend) && InEnum(m.half, ShareHalf::kSecond); }
bool Valid(const ShareEpoch& m) { return ValidName(m.node); }
bool Valid(const ShareRelease& m) { return Valid(m.share) && Valid(m.epoch); }
bool Valid(const ShareReleaseAck& m) { return Valid(m.share) && Valid(m.epoch); }
bool Valid(const ShareClaim& m) { return Valid(m.share) && Valid(m.epoch); }
bool Valid(const ShareClaimReply& m) {
  return Valid(m.share) && Valid(m.epoch) && Valid(m.highest) &&
         InEnum(m.standing, ClaimStanding::kOutdated);
}
bool Valid(const WarmQuery& m) { return ValidName(m.backend); }
bool Valid(const ForwardQuery& m) {
  return ValidName(m.front) && ValidName(m.request_id) && ValidTime(m.time_left) &&
         InEnum(m.priority, Priority::kBulk);
}
bool Valid(const ForwardReply& m) { return ValidStatus(m.status); }
bool Valid(const ForwardAction& m) {
  return ValidName(m.front) && ValidName(m.action_id) && ValidTime(m.time_left);
}
bool Valid(const ActionReply& m) {
  return InEnum(m.verdict, Verdict::kRan) && ValidStatus(m.status);
}
bool Valid(const RunAction& m) {
  return ValidName(m.action_id) && ValidName(m.service) && ValidName(m.backend) &&
         ValidTime(m.time_left);
}
bool Valid(const ActionResult& m) {
  return InEnum(m.verdict, Verdict::kRan) && InEnum(m.outcome, ShardOutcome::kBadAnswer);
}
bool Valid(const CrashReport& m) { return ValidName(m.service) && ValidName(m.backend); }
bool Valid(const CrashRefutation& m) { return ValidName(m.service) && ValidName(m.backend); }
bool Valid(const ConfigAnnounce&) { return true; }
bool Valid(const ConfigPull&) { return true; }
bool Valid(const ConfigData& m) { return m.base_revision <= m.revision; }
bool Valid(const RosterAnnounce& m) { return ValidName(m.zone); }
bool Valid(const RosterPull& m) { return ValidName(m.zone); }
bool Valid(const RosterData& m) { return ValidName(m.zone) && Valid(m.data); }
bool Valid(const Member& m) {
  return ValidName(m.node) && ValidName(m.zone) && ValidName(m.endpoint.address) &&
         InEnum(m.state, MemberState::kLeft);
}
bool Valid(const MembersPull& m) { return Valid(m.sender); }
bool Valid(const MembersData& m) {
  return std::all_of(m.members.begin(), m.members.end(),
                     [](const Member& member) { return Valid(member); });
}

template <typename T>
std::optional<Message> DecodeAs(std::string_view fields) {
  T value;
  internal::BoundedInputArchive archive(fields);
  archive(value);
  if (archive.bytes_left() != 0 || !Valid(value)) return std::nullopt;
  return Message(std::move(value));
}

using Decoder = std::optional<Message> (*)(std::string_view);

template <std::size_t... I>
constexpr std::array<Decoder, sizeof...(I)> MakeDecoders(std::index_sequence<I...>) {
  return {&DecodeAs<std::variant_alternative_t<I, Message>>...};
}

constexpr auto kDecoders = MakeDecoders(std::make_index_sequence<std::variant_size_v<Message>>());

}  // namespace

std::string EncodeMessage(const Message& message) {
  std::string bytes(1, static_cast<char>(message.index()));
  internal::AppendBinary(bytes, [&](auto& archive) {
    std::visit([&](const auto& value) { archive(value); }, message);
  });
  return bytes;
}

absl::StatusOr<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.empty() || bytes.size() > kMaxMessageSize) {
    return absl::InvalidArgumentError("message is empty or too long");
  }
  auto type = static_cast<std::uint8_t>(bytes[0]);
  if (type >= kDecoders.size()) return absl::InvalidArgumentError("unknown message type");
  try {
    std::optional<Message> message = kDecoders[type](bytes.substr(1));
    if (message.has_value()) return *std::move(message);
  } catch (const cereal::Exception&) {
    return absl::InvalidArgumentError("message is cut short or has a wrong size");
  }
  return absl::InvalidArgumentError("message has a field outside its limits");
}

}  // namespace damaskroute
