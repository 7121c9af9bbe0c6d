#include "benchmark/support/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

namespace damaskroute::bench {

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto to_seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime);
}

double ResidentMegabytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) * 1e-6;
}

double LoadAverage() {
  double load = 0;
  return getloadavg(&load, 1) == 1 ? load : 0;
}

}  // namespace damaskroute::bench
