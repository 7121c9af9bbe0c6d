#ifndef STANDINS_SERVICE_TIME_H_
#define STANDINS_SERVICE_TIME_H_

#include <cstddef>

#include "damaskroute/core/random.h"
#include "damaskroute/core/time.h"
#include "standins/backend_options.h"

namespace damaskroute::standins {

/// Draws a random service time for a call that starts to run while the backend server processes
/// `concurrent` calls, including this one. At most one hour.
Duration DrawServiceTime(const BackendOptions& options, bool cold, std::size_t concurrent,
                         Random& random);

}  // namespace damaskroute::standins

#endif  // STANDINS_SERVICE_TIME_H_
