#include "damaskroute/forward/record_merge.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

std::string Record(char first) { return std::string(1, first) + std::string(kRecordSize - 1, 'x'); }

TEST_CASE("the greatest records of all parts come first, equal ones are all kept") {
  std::string a = Record('b') + Record('d');
  std::string b = Record('d') + Record('a') + Record('c');
  CHECK(MergeRecords({a, b}, 4) == Record('d') + Record('d') + Record('c') + Record('b'));
}

TEST_CASE("a shorter remainder is ignored") {
  CHECK(MergeRecords({Record('a') + "zzz"}, 10) == Record('a'));
  CHECK(MergeRecords({"zzz", ""}, 10).empty());
}

TEST_CASE("bytes above 127 are greater than letters") {
  CHECK(MergeRecords({Record('a') + Record('\xff')}, 1) == Record('\xff'));
}

}  // namespace
}  // namespace damaskroute
