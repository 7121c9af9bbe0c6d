#ifndef DAMASKROUTE_FORWARD_VERSION_GATE_H_
#define DAMASKROUTE_FORWARD_VERSION_GATE_H_

#include <string>

#include "damaskroute/core/ids.h"
#include "damaskroute/core/time.h"

namespace damaskroute {

/// Version that a call prefers, or avoids; other servers are chosen only if that leaves none. Null
/// if all allowed versions are equal.
struct VersionPreference {
  const std::string* version = nullptr;
  bool avoid = false;

  bool IsPreferred(const std::string& other) const {
    return version == nullptr || (other == *version) != avoid;
  }
};

/// Decides which versions of a service's backend servers get calls.
class VersionGate {
 public:
  virtual ~VersionGate() = default;

  /// Whether a call may go to a server of this version.
  virtual bool Allows(const ServiceName& service, const std::string& version,
                      TimePoint now) const = 0;

  /// `repeated`: the call is a hedge or a retry.
  virtual VersionPreference PreferenceFor(const ServiceName& service, bool repeated,
                                          TimePoint now) const = 0;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_FORWARD_VERSION_GATE_H_
