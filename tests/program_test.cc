#include "damaskroute/settings/program.h"

#include <doctest/doctest.h>

namespace damaskroute {
namespace {

const Program kProgram{"damaskrouted", "1.2.3", "usage text\n"};

// Guards against --help exiting with an error code, which scripts take for a failure.
TEST_CASE("--help and --version print to standard output and exit with code 0") {
  for (const char* flag : {"--help", "-help", "-h"}) {
    auto early_exit = kProgram.HandleInfoFlags({"--settings=f.yaml", flag});
    REQUIRE(early_exit.has_value());
    CHECK(early_exit->code == 0);
    CHECK(early_exit->out == "usage text\n");
    CHECK(early_exit->err.empty());
  }
  auto early_exit = kProgram.HandleInfoFlags({"--version"});
  REQUIRE(early_exit.has_value());
  CHECK(early_exit->code == 0);
  CHECK(early_exit->out == "damaskrouted 1.2.3\n");
}

TEST_CASE("other arguments, and those after --, are ignored") {
  CHECK_FALSE(kProgram.HandleInfoFlags({}).has_value());
  CHECK_FALSE(kProgram.HandleInfoFlags({"--check", "help", "--", "--help"}).has_value());
}

TEST_CASE("invalid settings exit with code 2 and a one-line message, --check exits with 0") {
  auto missing = kProgram.HandleSettingsStatus("", absl::NotFoundError(":1:1"), true);
  REQUIRE(missing.has_value());
  CHECK(missing->code == kExitSettings);
  CHECK(missing->err == "damaskrouted: --settings=FILE is required, see --help\n");

  for (bool check : {true, false}) {
    auto invalid = kProgram.HandleSettingsStatus(
        "f.yaml", absl::InvalidArgumentError("f.yaml:1:1: expected"), check);
    REQUIRE(invalid.has_value());
    CHECK(invalid->code == kExitSettings);
    CHECK(invalid->out.empty());
    CHECK(invalid->err == "f.yaml:1:1: expected\n");
  }

  auto checked = kProgram.HandleSettingsStatus("f.yaml", absl::OkStatus(), true);
  REQUIRE(checked.has_value());
  CHECK(checked->code == 0);
  CHECK(checked->out == "f.yaml: OK\n");
  CHECK_FALSE(kProgram.HandleSettingsStatus("f.yaml", absl::OkStatus(), false).has_value());
}

}  // namespace
}  // namespace damaskroute
