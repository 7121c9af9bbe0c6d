#ifndef DAMASKROUTE_CONFIG_SEARCH_FRONT_H_
#define DAMASKROUTE_CONFIG_SEARCH_FRONT_H_

#include <chrono>

#include "damaskroute/config/objective.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Address under which callers use a service.
struct SearchFront {
  FrontName name;
  ServiceName service;
  std::chrono::milliseconds default_deadline{1000};  ///< For requests that name none.
  Objective objective;

  friend bool operator==(const SearchFront&, const SearchFront&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_SEARCH_FRONT_H_
