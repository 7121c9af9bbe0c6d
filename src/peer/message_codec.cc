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
bool IsInEnum(Enum value, Enum last) {
  return static_cast<unsigned>(value) <= static_cast<unsigned>(last);
}

bool IsValidName(const std::string& name) { return name.size() <= kMaxNameSize; }

template <typename T>
bool IsValidDuration(T duration) {
  return duration >= T::zero() && duration <= kMaxMessageDuration;
}

bool IsValidStatus(int status) { return status >= 100 && status <= 599; }

bool IsValidRange(const KeyRange& range) {
  return range.low <= range.high && range.high <= kKeySpaceSize;
}

bool IsValid(const ShardBatch& m) {
  for (const ShardCall& call : m.calls) {
    if (!IsValidName(call.backend) || !IsValidRange(call.range)) return false;
  }
  return IsValidName(m.request_id) && IsValidName(m.service) && IsValidDuration(m.time_left) &&
         IsInEnum(m.priority, Priority::kBulk);
}
bool IsValid(const ShardReply& m) {
  return IsValidName(m.backend) && IsInEnum(m.outcome, ShardOutcome::kBadAnswer) &&
         IsValidRange(m.range);
}
bool IsValid(const CancelCalls&) { return true; }
bool IsValid(const BackendReport& m) {
  for (const HeldRange& held : m.held) {
    if (!IsValidRange(held.range)) return false;
  }
  return IsValidName(m.holder) && IsValidName(m.service) && IsValidName(m.backend) &&
         IsInEnum(m.state, BackendState::kDown);
}
bool IsValid(const WarmGrant& m) { return IsValidName(m.backend) && IsValidDuration(m.validity); }
bool IsValid(const ShareKey& m) {
  return IsValidName(m.backend) && IsInEnum(m.half, ShareHalf::kSecond);
}
bool IsValid(const ShareEpoch& m) { return IsValidName(m.node); }
bool IsValid(const ShareRelease& m) { return IsValid(m.share) && IsValid(m.epoch); }
bool IsValid(const ShareReleaseAck& m) { return IsValid(m.share) && IsValid(m.epoch); }
bool IsValid(const ShareClaim& m) { return IsValid(m.share) && IsValid(m.epoch); }
bool IsValid(const ShareClaimReply& m) {
  return IsValid(m.share) && IsValid(m.epoch) && IsValid(m.highest) &&
         IsInEnum(m.claim_status, ClaimStatus::kOutdated);
}
bool IsValid(const WarmQuery& m) { return IsValidName(m.backend); }
bool IsValid(const ForwardQuery& m) {
  return IsValidName(m.front) && IsValidName(m.request_id) && IsValidDuration(m.time_left) &&
         IsInEnum(m.priority, Priority::kBulk);
}
bool IsValid(const ForwardReply& m) { return IsValidStatus(m.status); }
bool IsValid(const ForwardAction& m) {
  return IsValidName(m.front) && IsValidName(m.action_id) && IsValidDuration(m.time_left);
}
bool IsValid(const ActionReply& m) {
  return IsInEnum(m.verdict, Verdict::kRan) && IsValidStatus(m.status);
}
bool IsValid(const RunAction& m) {
  return IsValidName(m.action_id) && IsValidName(m.service) && IsValidName(m.backend) &&
         IsValidDuration(m.time_left);
}
bool IsValid(const ActionResult& m) {
  return IsInEnum(m.verdict, Verdict::kRan) && IsInEnum(m.outcome, ShardOutcome::kBadAnswer);
}
bool IsValid(const CrashReport& m) { return IsValidName(m.service) && IsValidName(m.backend); }
bool IsValid(const CrashRefutation& m) { return IsValidName(m.service) && IsValidName(m.backend); }
bool IsValid(const ConfigAnnounce&) { return true; }
bool IsValid(const ConfigPull&) { return true; }
bool IsValid(const ConfigData& m) { return m.base_revision <= m.revision; }
bool IsValid(const RosterAnnounce& m) { return IsValidName(m.zone); }
bool IsValid(const RosterPull& m) { return IsValidName(m.zone); }
bool IsValid(const RosterData& m) { return IsValidName(m.zone) && IsValid(m.data); }
bool IsValid(const Member& m) {
  return IsValidName(m.node) && IsValidName(m.zone) && IsValidName(m.endpoint.address) &&
         IsInEnum(m.state, MemberState::kLeft);
}
bool IsValid(const MembersPull& m) { return IsValid(m.sender); }
bool IsValid(const MembersData& m) {
  return std::all_of(m.members.begin(), m.members.end(),
                     [](const Member& member) { return IsValid(member); });
}

template <typename T>
std::optional<Message> DecodeAs(std::string_view fields) {
  T value;
  internal::BoundedInputArchive archive(fields);
  archive(value);
  if (archive.bytes_left() != 0 || !IsValid(value)) return std::nullopt;
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
    return absl::InvalidArgumentError("message is truncated or has an invalid size");
  }
  return absl::InvalidArgumentError("message has a field outside its limits");
}

}  // namespace damaskroute
