#include "damaskroute/core/verdict.h"

namespace damaskroute {

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

std::optional<Verdict> ParseVerdict(std::string_view name) {
  for (Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    if (VerdictName(verdict) == name) return verdict;
  }
  return std::nullopt;
}

}  // namespace damaskroute
