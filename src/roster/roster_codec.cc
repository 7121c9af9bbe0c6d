#include "damaskroute/roster/roster_codec.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <optional>

#include "fmt/format.h"

namespace damaskroute {
namespace {

using Value = rapidjson::Value;

void WriteText(rapidjson::Writer<rapidjson::StringBuffer>& writer, const std::string& text) {
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

std::string TextOf(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

bool IsName(const Value& value) {
  return value.IsString() && value.GetStringLength() > 0 &&
         value.GetStringLength() <= kMaxSeatNameLength;
}

std::optional<Seat> ParseSeat(const Value& value) {
  if (!value.IsArray() || value.Size() != 5) return std::nullopt;
  bool typed = IsName(value[0]) && IsName(value[1]) && IsName(value[2]) && value[3].IsUint64() &&
               value[4].IsBool();
  if (!typed) return std::nullopt;
  absl::StatusOr<Endpoint> peer = ParseEndpoint(TextOf(value[2]));
  if (!peer.ok()) return std::nullopt;
  return Seat{TextOf(value[0]), TextOf(value[1]), *std::move(peer), value[3].GetUint64(),
              value[4].GetBool()};
}

}  // namespace

std::string EncodeRoster(const Roster& roster) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("revision");
  writer.Uint64(roster.revision);
  writer.Key("seats");
  writer.StartArray();
  for (const Seat& seat : roster.seats) {
    writer.StartArray();
    WriteText(writer, seat.node);
    WriteText(writer, seat.zone);
    WriteText(writer, FormatEndpoint(seat.peer));
    writer.Uint64(seat.incarnation);
    writer.Bool(seat.leaving);
    writer.EndArray();
  }
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

absl::StatusOr<Roster> DecodeRoster(std::string_view text) {
  if (text.size() > kMaxRosterBytes) return absl::InvalidArgumentError("roster is too long");
  rapidjson::Document document;
  // The iterative parser does not use the stack for nested values.
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  bool valid = !document.HasParseError() && document.IsObject() && document.MemberCount() == 2 &&
               document.HasMember("revision") && document["revision"].IsUint64() &&
               document.HasMember("seats") && document["seats"].IsArray() &&
               document["seats"].Size() <= kMaxSeats;
  if (!valid) return absl::InvalidArgumentError("expected a roster with revision and seats");
  Roster roster{document["revision"].GetUint64(), {}};
  roster.seats.reserve(document["seats"].Size());
  for (const Value& value : document["seats"].GetArray()) {
    std::optional<Seat> seat = ParseSeat(value);
    if (!seat || (!roster.seats.empty() && !(roster.seats.back().node < seat->node))) {
      return absl::InvalidArgumentError(
          fmt::format("invalid or unsorted seat number {}", roster.seats.size()));
    }
    roster.seats.push_back(*std::move(seat));
  }
  return roster;
}

}  // namespace damaskroute
