#include "damaskroute/metrics/exposition.h"

#include <cmath>
#include <iterator>

#include "fmt/format.h"

namespace damaskroute {
namespace {

std::string FormatNumber(double value) {
  return std::isinf(value) ? "+Inf" : fmt::format("{}", value);
}

}  // namespace

void Exposition::Family(std::string_view name, std::string_view type, std::string_view help) {
  name_ = name;
  fmt::format_to(std::back_inserter(text_), "# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void Exposition::Sample(std::string_view labels, double value) {
  fmt::format_to(std::back_inserter(text_), "{}{}{}{} {}\n", name_, labels.empty() ? "" : "{",
                 labels, labels.empty() ? "" : "}", FormatNumber(value));
}

void Exposition::Histogram(std::string_view labels, const LatencyHistogram& histogram) {
  std::string_view comma = labels.empty() ? "" : ",";
  std::uint64_t total = 0;
  for (const LatencyHistogram::Bucket& bucket : histogram.Buckets()) {
    fmt::format_to(std::back_inserter(text_), "{}_bucket{{{}{}le=\"{}\"}} {}\n", name_, labels,
                   comma, FormatNumber(bucket.limit.count()), bucket.count);
    total = bucket.count;
  }
  fmt::format_to(std::back_inserter(text_), "{}_sum{{{}}} {}\n{}_count{{{}}} {}\n", name_, labels,
                 histogram.Sum().count(), name_, labels, total);
}

std::string Exposition::Label(std::string_view name, std::string_view value) {
  std::string escaped;
  for (char c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return fmt::format("{}=\"{}\"", name, escaped);
}

}  // namespace damaskroute
