#ifndef DAMASKROUTE_CONFIG_CONFIG_DOCUMENT_H_
#define DAMASKROUTE_CONFIG_CONFIG_DOCUMENT_H_

#include <string>
#include <vector>

#include "damaskroute/config/search_front.h"
#include "damaskroute/config/service.h"
#include "damaskroute/config/zone.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// The whole configuration in force, as committed by operators. Immutable once published.
struct ConfigDocument {
  Revision revision = 0;  ///< 0 means that no configuration is known yet.
  std::string change_id;  ///< Identifies the commit that created this revision.
  std::vector<Zone> zones;
  std::vector<Service> services;
  std::vector<SearchFront> fronts;

  /// Entry with the given name, nullptr if there is none.
  const Zone* FindZone(const ZoneName& name) const;
  const Service* FindService(const ServiceName& name) const;
  const SearchFront* FindFront(const FrontName& name) const;

  friend bool operator==(const ConfigDocument&, const ConfigDocument&) = default;
};

/// Whether new calls may be sent to `backend`: it is not leaving and its zone serves. A zone that
/// is not declared counts as out.
bool AcceptsWork(const ConfigDocument& config, const BackendServer& backend);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_CONFIG_DOCUMENT_H_
