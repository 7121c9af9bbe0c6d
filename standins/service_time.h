#ifndef STANDINS_SERVICE_TIME_H_
#define STANDINS_SERVICE_TIME_H_

#include <cstddef>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "standins/backend_options.h"

namespace damaskroute::standins {

/// Draws the service time of a call that starts while `concurrent` calls, itself included, are at
/// the backend server. At most one hour.
Duration DrawServiceTime(const BackendOptions& options, bool cold, std::size_t concurrent,
                         Random& random);

}  // namespace damaskroute::standins

#endif  // STANDINS_SERVICE_TIME_H_
