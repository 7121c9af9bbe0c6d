#include "damaskroute/crashguard/crash_page.h"

#include <algorithm>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstdint>

#include "damaskroute/core/binary_writer.h"
#include "damaskroute/peer/bounded_input_archive.h"

namespace damaskroute {
namespace {

using std::chrono::microseconds;

// First byte of each page; pages of another version are rejected.
constexpr std::uint8_t kFormat = 1;

// Age of what never happened.
constexpr std::int64_t kNever = -1;

// Limit of valid ages, above the time for which nodes remember losses.
constexpr std::int64_t kMaxAge = microseconds(std::chrono::hours(24)).count();

struct EncodedLoss {
  std::uint64_t id = 0;
  std::uint64_t incarnation = 0;
  std::int64_t sent_age = 0;  // In microseconds, as all ages.
  std::int64_t lost_age = 0;
  bool survived = false;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(id, incarnation, sent_age, lost_age, survived);
  }
};

struct EncodedRecord {
  std::uint64_t request = 0;
  std::int64_t answered_age = kNever;
  std::vector<EncodedLoss> losses;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(request, answered_age, losses);
  }
};

std::int64_t AgeOf(TimePoint at, TimePoint now) {
  auto age = std::chrono::duration_cast<microseconds>(now - at).count();
  return std::clamp<std::int64_t>(age, 0, kMaxAge);
}

EncodedRecord Encode(const CrashRecord& record, TimePoint now) {
  EncodedRecord encoded;
  encoded.request = record.request;
  if (record.answered != TimePoint()) encoded.answered_age = AgeOf(record.answered, now);
  for (const CrashLoss& loss : record.losses) {
    encoded.losses.push_back(
        {loss.id, loss.incarnation, AgeOf(loss.sent, now), AgeOf(loss.lost, now), loss.survived});
  }
  return encoded;
}

bool IsValid(const EncodedRecord& encoded) {
  return encoded.answered_age >= kNever && encoded.answered_age <= kMaxAge &&
         encoded.losses.size() <= CrashRecord::kMaxLosses &&
         std::all_of(encoded.losses.begin(), encoded.losses.end(), [](const EncodedLoss& loss) {
           return loss.lost_age >= 0 && loss.lost_age <= loss.sent_age && loss.sent_age <= kMaxAge;
         });
}

CrashRecord Decode(const EncodedRecord& encoded, TimePoint now) {
  CrashRecord record;
  record.request = encoded.request;
  if (encoded.answered_age != kNever) record.answered = now - microseconds(encoded.answered_age);
  for (const EncodedLoss& loss : encoded.losses) {
    record.losses.push_back({loss.id, loss.incarnation, now - microseconds(loss.sent_age),
                             now - microseconds(loss.lost_age), loss.survived});
  }
  return record;
}

template <typename Archive>
void Transfer(Archive& archive, std::uint8_t& format, bool& all,
              std::vector<EncodedRecord>& records) {
  archive(format, all, records);
}

}  // namespace

std::string EncodeCrashPage(const CrashPage& page, TimePoint now) {
  std::string bytes;
  std::uint8_t format = kFormat;
  bool all = page.all;
  std::vector<EncodedRecord> records;
  for (const CrashRecord& record : page.records) records.push_back(Encode(record, now));
  internal::AppendBinary(bytes, [&](auto& archive) { Transfer(archive, format, all, records); });
  return bytes;
}

absl::StatusOr<CrashPage> DecodeCrashPage(std::string_view bytes, TimePoint now) {
  CrashPage page;
  std::uint8_t format = 0;
  std::vector<EncodedRecord> records;
  try {
    internal::BoundedInputArchive archive(bytes);
    Transfer(archive, format, page.all, records);
    if (archive.bytes_left() != 0) {
      return absl::InvalidArgumentError("trailing bytes after the page");
    }
  } catch (const cereal::Exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  if (format != kFormat) return absl::InvalidArgumentError("unknown page format");
  if (records.size() > CrashPage::kMaxRecords ||
      !std::all_of(records.begin(), records.end(), IsValid)) {
    return absl::InvalidArgumentError("the page exceeds its limits");
  }
  for (const EncodedRecord& encoded : records) page.records.push_back(Decode(encoded, now));
  return page;
}

}  // namespace damaskroute
