#ifndef DAMASKROUTE_CONFIG_SEARCH_FRONT_H_
#define DAMASKROUTE_CONFIG_SEARCH_FRONT_H_

#include <chrono>

#include "damaskroute/config/objective.h"
#include "damaskroute/core/ids.h"

namespace damaskroute {

/// Named entry point through which callers query a service.
struct SearchFront {
  FrontName name;
  ServiceName service;
  std::chrono::milliseconds default_deadline{1000};  ///< For requests without a deadline.
  Objective objective;

  friend bool operator==(const SearchFront&, const SearchFront&) = default;
};

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_SEARCH_FRONT_H_
