#ifndef DAMASKROUTE_STORE_VM_LIST_H_
#define DAMASKROUTE_STORE_VM_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Whether the platform is about to remove a VM.
enum class VmState : std::uint8_t { kLive, kLeaving };

/// VM of an entry node in the platform's list.
struct VmEntry {
  NodeName name;
  std::string address;  ///< IP address.
  ZoneName zone;
  VmState state = VmState::kLive;

  friend bool operator==(const VmEntry&, const VmEntry&) = default;
};

/// The platform's list of VMs. It lags: a removed VM may still be listed, and a new one may be
/// missing.
struct VmList {
  std::vector<VmEntry> vms;

  /// Returns the entry with this name, or nullptr if the VM is not listed.
  const VmEntry* Find(std::string_view name) const;
};

/// Parses `{"vms":[{"name","address","zone","state":"live"|"leaving"}]}`. Returns InvalidArgument
/// for any other form, so that a truncated list is never mistaken for removed VMs.
absl::StatusOr<VmList> ParseVmList(std::string_view json);

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_VM_LIST_H_
