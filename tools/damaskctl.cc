#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "damaskroute/ctl/ctl.h"
#include "damaskroute/settings/program.h"
#include "damaskroute/settings/yaml_reader.h"
#include "fmt/format.h"
#include "pplx/threadpool.h"

ABSL_FLAG(std::string, endpoint, "127.0.0.1:7002", "operators' address of a node");
ABSL_FLAG(std::string, callers_endpoint, "127.0.0.1:7001", "callers' address of a node");
ABSL_FLAG(std::string, token_file, "", "file that holds the operators' token");
ABSL_FLAG(std::string, f, "", "declaration: file or directory");
ABSL_FLAG(std::string, format, "", "table or json");
ABSL_FLAG(std::string, timeout, "30s", "longest time of a call or wait");
ABSL_FLAG(bool, yes, false, "do not ask");
ABSL_FLAG(bool, override, false, "confirm despite severe warnings");
ABSL_FLAG(std::uint64_t, wait, 0, "status waits until this revision is in force");

namespace damaskroute {
namespace {

// Converts dashes in flag names to underscores, which Abseil flags use.
std::string NormalizeFlag(std::string argument) {
  if (argument.rfind("--", 0) != 0) return argument;
  std::size_t end = std::min(argument.find('='), argument.size());
  for (std::size_t i = 2; i < end; ++i) {
    if (argument[i] == '-') argument[i] = '_';
  }
  return argument;
}

int Fail(const std::string& problem) {
  fmt::print(stderr, "damaskctl: {}\nnext: damaskctl --help\n", problem);
  return static_cast<int>(ExitCode::kInvalid);
}

std::optional<bool> Prompt(const std::string& question) {
  if (isatty(STDIN_FILENO) == 0) return std::nullopt;
  fmt::print(stderr, "{}", question);
  std::string answer;
  std::getline(std::cin, answer);
  return answer == "y" || answer == "yes";
}

CtlIo MakeProcessIo() {
  CtlIo io;
  io.out = [](const std::string& text) { fmt::print("{}", text); };
  io.err = [](const std::string& text) { fmt::print(stderr, "{}", text); };
  io.prompt = Prompt;
  io.call = PerformHttpCall;
  io.sleep = [](std::chrono::milliseconds span) { std::this_thread::sleep_for(span); };
  return io;
}

int Main(const std::vector<char*>& arguments) {
  std::string format = absl::GetFlag(FLAGS_format);
  if (format.empty()) format = isatty(STDOUT_FILENO) != 0 ? "table" : "json";
  if (format != "table" && format != "json") return Fail("--format: expected table or json");
  std::optional<std::chrono::nanoseconds> timeout = ParseSpan(absl::GetFlag(FLAGS_timeout));
  if (!timeout.has_value()) return Fail("--timeout: expected a time span, for example 30s");

  CtlOptions options;
  options.endpoint = absl::GetFlag(FLAGS_endpoint);
  options.callers_endpoint = absl::GetFlag(FLAGS_callers_endpoint);
  options.file = absl::GetFlag(FLAGS_f);
  options.json = format == "json";
  options.yes = absl::GetFlag(FLAGS_yes);
  options.override_warnings = absl::GetFlag(FLAGS_override);
  options.wait = absl::GetFlag(FLAGS_wait);
  options.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(*timeout);
  std::string token_file = absl::GetFlag(FLAGS_token_file);
  if (!token_file.empty()) {
    std::ifstream stream(token_file);
    if (!(stream >> options.token)) return Fail("--token-file: cannot read a token from the file");
  }
  // The default pool of 40 threads costs more to start than the few calls of this program.
  crossplat::threadpool::initialize_with_threads(2);
  std::vector<std::string> command(arguments.begin() + 1, arguments.end());
  return static_cast<int>(Ctl(std::move(options), MakeProcessIo()).Run(command));
}

}  // namespace
}  // namespace damaskroute

int main(int argc, char** argv) {
  const damaskroute::Program program{"damaskctl", DAMASKROUTE_VERSION, damaskroute::CtlUsage()};
  if (auto ended = program.HandleInfoFlags({argv + 1, argv + argc})) return Print(*ended);
  std::vector<std::string> texts(argv, argv + argc);
  for (std::string& text : texts) text = damaskroute::NormalizeFlag(text);
  std::vector<char*> pointers;
  pointers.reserve(texts.size());
  for (std::string& text : texts) pointers.push_back(text.data());
  return damaskroute::Main(absl::ParseCommandLine(argc, pointers.data()));
}
