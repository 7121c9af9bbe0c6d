#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "damaskroute/ctl/ctl.h"
#include "tests/support/cluster.h"
#include "tests/support/markdown.h"

namespace damaskroute {
namespace {

using testing::Cluster;
using testing::FencedBlock;
using testing::WaitFor;

constexpr char kSources[] = DAMASKROUTE_SOURCE_DIR;
constexpr char kDirectory[] = DAMASKROUTE_BINARY_DIR "/operations_doc";
constexpr char kPage[] = DAMASKROUTE_SOURCE_DIR "/docs/OPERATIONS.md";
constexpr KeyRange kLowHalf{0, kKeySpaceSize / 2};
constexpr KeyRange kHighHalf{kKeySpaceSize / 2, kKeySpaceSize};

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

void WriteText(const std::filesystem::path& path, const std::string& text) {
  std::ofstream(path) << text;
}

// The files and the deployment that the page assumes: each half of the index in three zones, and a
// second declaration, declaration-2.yaml, with an additional backend server.
class Deployment {
 public:
  Deployment() {
    std::filesystem::create_directories(directory_);
    cluster_.UseStore();
    cluster_.AddNode("entry-1", "bogota-a");
    cluster_.AddNode("entry-2", "bogota-b");
    const char* zones[] = {"bogota-a", "bogota-b", "bogota-c"};
    std::string declaration = "zones:\n";
    for (const char* zone : zones) declaration += fmt::format("  - {{name: {}}}\n", zone);
    declaration +=
        "fronts:\n  - {name: catalog, service: catalog}\n"
        "services:\n  - name: catalog\n    customer: semillero\n    warm_up: 0s\n"
        "    backend_defaults: {slots: 2, connections: 20}\n    backends:\n";
    for (int i = 0; i < 7; ++i) {
      std::string name = fmt::format("catalog-{}", i + 1);
      const auto& backend =
          cluster_.AddBackend(name, zones[i % 3], {{1, {i % 2 == 0 ? kLowHalf : kHighHalf}}});
      std::string entry = fmt::format("      - {{name: {}, zone: {}, address: \"{}\"}}\n", name,
                                      zones[i % 3], FormatEndpoint(backend.endpoint()));
      if (name != "catalog-7") declaration += entry;
      if (name == "catalog-7") extra_ = entry;
    }
    WriteText(directory_ / "declaration.yaml", declaration);
    WriteText(directory_ / "declaration-2.yaml", declaration + extra_);
    REQUIRE(cluster_.Start(/*commit_first=*/false).ok());
  }

  Cluster& cluster() { return cluster_; }
  const std::filesystem::path& directory() const { return directory_; }

 private:
  std::filesystem::path directory_{kDirectory};
  std::string extra_;
  Cluster cluster_;
};

struct Command {
  int line = 0;
  std::vector<std::string> words;  // Without the program name.
  int exit_code = 0;
};

// Fails on a command outside of the executed blocks.
std::vector<Command> ReadCommands() {
  const std::regex word(R"('([^']*)'|(\S+))");
  const std::regex comment(R"(  # exit (\d+)$)");
  std::vector<Command> commands;
  for (const FencedBlock& block : testing::ReadFencedBlocks(kPage)) {
    std::istringstream lines(block.text);
    int number = block.line;
    for (std::string line; std::getline(lines, line);) {
      Command command;
      command.line = ++number;
      CAPTURE(line);
      if (block.info != "sh") {
        CHECK(line.rfind("damaskctl", 0) != 0);
        continue;
      }
      REQUIRE(line.rfind("damaskctl ", 0) == 0);
      std::smatch match;
      if (std::regex_search(line, match, comment)) {
        command.exit_code = std::stoi(match[1]);
        line = match.prefix();
      }
      for (std::sregex_iterator it(line.begin(), line.end(), word), end; it != end; ++it) {
        command.words.push_back((*it)[1].matched ? (*it)[1] : (*it)[2]);
      }
      command.words.erase(command.words.begin());
      commands.push_back(command);
    }
  }
  return commands;
}

std::string Member(const std::string& json, const std::string& name) {
  std::smatch match;
  bool found = std::regex_search(json, match, std::regex("\"" + name + "\":\"?([0-9a-f]+)"));
  return found ? std::string(match[1]) : "";
}

// Runs the commands of the page in order.
class Operator {
 public:
  explicit Operator(Deployment& deployment) : deployment_(deployment) {}

  void Run(const Command& command) {
    CtlOptions options;
    // All nodes behave alike, so the commands alternate between them.
    const NodeSettings& node = deployment_.cluster().settings(next_node_++ % 2);
    options.endpoint = FormatEndpoint(node.operators);
    options.callers_endpoint = FormatEndpoint(node.callers);
    options.token = node.operator_token;
    options.json = true;
    std::vector<std::string> arguments;
    for (std::size_t i = 0; i < command.words.size(); ++i) {
      const std::string& word = command.words[i];
      if (word == "-f") {
        REQUIRE(i + 1 < command.words.size());
        options.file = (deployment_.directory() / command.words[++i]).string();
      } else if (word == "--yes") {
        options.yes = true;
      } else if (word == "--override") {
        options.override_warnings = true;
      } else if (word == "--wait=REVISION") {
        options.wait = std::stoull(revision_);
      } else {
        REQUIRE(word.rfind("--", 0) != 0);
        arguments.push_back(ValueOf(word));
      }
    }
    if (arguments.front() == "query") WaitForAnswers();
    std::string output;
    CtlIo io;
    io.out = [&](const std::string& text) { output += text; };
    io.err = io.out;
    io.prompt = [](const std::string&) { return true; };
    io.call = PerformHttpCall;
    io.sleep = [](std::chrono::milliseconds span) { std::this_thread::sleep_for(span); };
    ExitCode code = Ctl(options, io).Run(arguments);
    CAPTURE(output);
    CHECK(static_cast<int>(code) == command.exit_code);
    if (arguments.front() == "plan") plan_id_ = Member(output, "id");
    if (output.find("\"committed\":true") != std::string::npos) {
      revision_ = Member(output, "revision");
      if (good_revision_.empty()) good_revision_ = revision_;
    }
  }

 private:
  std::string ValueOf(const std::string& word) const {
    if (word == "PLAN_ID") return plan_id_;
    if (word == "GOOD_REVISION") return good_revision_;
    return word;
  }

  void WaitForAnswers() {
    for (std::size_t node : {0, 1}) {
      REQUIRE(WaitFor([&] { return deployment_.cluster().AnswersFully(node, "catalog"); }));
    }
  }

  Deployment& deployment_;
  std::size_t next_node_ = 0;
  std::string plan_id_;
  std::string revision_;
  std::string good_revision_;
};

// Guards against documented commands that fail or return another exit code.
TEST_CASE("each damaskctl command of docs/OPERATIONS.md has the documented exit code") {
  std::vector<Command> commands = ReadCommands();
  REQUIRE(commands.size() >= 20);
  Deployment deployment;
  Operator user(deployment);
  for (const Command& command : commands) {
    CAPTURE(command.line);
    user.Run(command);
  }
}

// Guards against a settings example that the program rejects and against undocumented keys.
TEST_CASE("the settings example of docs/OPERATIONS.md is valid and its table is complete") {
  std::filesystem::path directory(kDirectory);
  std::filesystem::create_directories(directory);
  WriteText(directory / "token", "operators-secret-0123\n");
  std::string page = ReadText(kPage);
  int found = 0;
  for (const FencedBlock& block : testing::ReadFencedBlocks(kPage)) {
    if (block.info != "yaml") continue;
    ++found;
    auto settings = ParseNodeSettings((directory / "node.yaml").string(), block.text);
    REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  }
  CHECK(found == 1);
  const std::regex keys(R"((\w+)\.ExpectKeys\(\{([^}]*)\}\))");
  const std::regex key(R"re("(\w+)")re");
  std::string source = ReadText(std::string(kSources) + "/src/settings/node_settings.cc");
  std::set<std::string> sections{"callers", "operators", "peers"};
  int checked = 0;
  for (std::sregex_iterator it(source.begin(), source.end(), keys), end; it != end; ++it) {
    std::string section = (*it)[1] == "root" ? "" : (*it)[1].str() + ".";
    std::string list = (*it)[2];
    for (std::sregex_iterator name(list.begin(), list.end(), key); name != end; ++name) {
      std::string row = "| `" + section + (*name)[1].str() + "` |";
      if (section.empty() && sections.contains((*name)[1])) continue;
      CAPTURE(row);
      CHECK(page.find(row) != std::string::npos);
      ++checked;
    }
  }
  CHECK(checked >= 18);
}

// Guards against undocumented metrics and warnings.
TEST_CASE("each metric and each warning of the daemon is documented") {
  const std::regex name(R"re("(damaskroute_\w+)"|LogLevel::k(?:Warning|Error),\s*"([^"]+)"\))re");
  std::string page = ReadText(kPage);
  int checked = 0;
  for (const char* folder : {"/src", "/include", "/daemons"}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(std::string(kSources) + folder)) {
      if (!entry.is_regular_file()) continue;
      std::string text = ReadText(entry.path());
      for (std::sregex_iterator it(text.begin(), text.end(), name), end; it != end; ++it) {
        std::string term = (*it)[1].matched ? (*it)[1] : (*it)[2];
        CAPTURE(term);
        CHECK(page.find("| `" + term + "` |") != std::string::npos);
        ++checked;
      }
    }
  }
  CHECK(checked >= 18);
}

}  // namespace
}  // namespace damaskroute
