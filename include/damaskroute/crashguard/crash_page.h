#ifndef DAMASKROUTE_CRASHGUARD_CRASH_PAGE_H_
#define DAMASKROUTE_CRASHGUARD_CRASH_PAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/time.h"
#include "damaskroute/crashguard/crash_record.h"

namespace damaskroute {

/// Records as one node sends them to another.
struct CrashPage {
  /// Limit of the records in a page.
  static constexpr std::size_t kMaxRecords = 64;

  std::vector<CrashRecord> records;
  /// Whether the receiver should respond with other records that it has, and not only with what it
  /// knows beyond these.
  bool all = false;
};

/// Encodes a page in binary form, with times as ages at `now`, since nodes have different clocks.
std::string EncodeCrashPage(const CrashPage& page, TimePoint now);

/// Decodes a page that was received at `now`; InvalidArgument if the bytes are not exactly one page
/// within the limits. The nodes of one network trust each other; the decoder still accepts any
/// bytes.
absl::StatusOr<CrashPage> DecodeCrashPage(std::string_view bytes, TimePoint now);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CRASHGUARD_CRASH_PAGE_H_
