#ifndef DAMASKROUTE_BENCHMARK_SUPPORT_PROCESS_USAGE_H_
#define DAMASKROUTE_BENCHMARK_SUPPORT_PROCESS_USAGE_H_

namespace damaskroute::bench {

/// Processor time of this process in seconds, user and system.
double ProcessorSeconds();

/// Resident memory of this process in megabytes (10^6 bytes).
double ResidentMegabytes();

/// Load average of the machine over the last minute.
double LoadAverage();

}  // namespace damaskroute::bench

#endif  // DAMASKROUTE_BENCHMARK_SUPPORT_PROCESS_USAGE_H_
