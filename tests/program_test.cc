#include "damaskroute/settings/program.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

const Program kProgram{"damaskrouted", "1.2.3", "usage text\n"};

// Guards against --help that counts as a failure in scripts.
TEST_CASE("--help and --version are answered on standard output with exit code 0") {
  for (const char* flag : {"--help", "-help", "-h"}) {
    auto ended = kProgram.AnswerInfoFlags({"--settings=f.yaml", flag});
    REQUIRE(ended.has_value());
    CHECK(ended->code == 0);
    CHECK(ended->out == "usage text\n");
    CHECK(ended->err.empty());
  }
  auto ended = kProgram.AnswerInfoFlags({"--version"});
  REQUIRE(ended.has_value());
  CHECK(ended->code == 0);
  CHECK(ended->out == "damaskrouted 1.2.3\n");
}

TEST_CASE("other arguments, and those after --, are left to the program") {
  CHECK_FALSE(kProgram.AnswerInfoFlags({}).has_value());
  CHECK_FALSE(kProgram.AnswerInfoFlags({"--check", "help", "--", "--help"}).has_value());
}

TEST_CASE("wrong settings end the program with 2 and one line, --check with 0") {
  auto missing = kProgram.AfterSettings("", absl::NotFoundError(":1:1"), true);
  REQUIRE(missing.has_value());
  CHECK(missing->code == kExitSettings);
  CHECK(missing->err == "damaskrouted: --settings=FILE is required, see --help\n");

  for (bool check : {true, false}) {
    auto wrong =
        kProgram.AfterSettings("f.yaml", absl::InvalidArgumentError("f.yaml:1:1: expected"), check);
    REQUIRE(wrong.has_value());
    CHECK(wrong->code == kExitSettings);
    CHECK(wrong->out.empty());
    CHECK(wrong->err == "f.yaml:1:1: expected\n");
  }

  auto checked = kProgram.AfterSettings("f.yaml", absl::OkStatus(), true);
  REQUIRE(checked.has_value());
  CHECK(checked->code == 0);
  CHECK(checked->out == "f.yaml: OK\n");
  CHECK_FALSE(kProgram.AfterSettings("f.yaml", absl::OkStatus(), false).has_value());
}

}  // namespace
}  // namespace damaskroute
