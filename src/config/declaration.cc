#include "damaskroute/config/declaration.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "damaskroute/settings/yaml_reader.h"
#include "fmt/format.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

constexpr std::uintmax_t kMaxDeclarationBytes = 64 << 20;
constexpr int kMaxSlots = 10'000;
constexpr int kMaxConnections = 100'000;
constexpr milliseconds kMaxWarmUp{3'600'000};
constexpr milliseconds kMaxDeadline{60'000};

// Reports duplicates of a name or an address.
class UniqueNames {
 public:
  explicit UniqueNames(const char* kind) : kind_(kind) {}

  void Add(const YamlReader& reader, const char* key, const std::string& name) {
    if (!names_.emplace(name, true).second) {
      reader.Fail(key,
                  fmt::format("expected a {} that is not used before, found \"{}\"", kind_, name));
    }
  }
  bool Contains(const std::string& name) const { return names_.count(name) != 0; }

 private:
  const char* kind_;
  std::map<std::string, bool> names_;
};

// A reference to a name that may be declared later or in another file.
struct Reference {
  YamlReader reader;
  const char* key;
  std::string name;
};

class DeclarationParser {
 public:
  void ReadFile(const DeclarationFile& file) {
    YamlReader root = YamlReader::Parse(file.name, file.text, &errors_);
    root.ExpectKeys({"zones", "services", "fronts"});
    for (const YamlReader& entry : root.Maps("zones")) document_.zones.push_back(ReadZone(entry));
    for (const YamlReader& entry : root.Maps("services")) {
      document_.services.push_back(ReadService(entry));
    }
    for (const YamlReader& entry : root.Maps("fronts")) {
      document_.fronts.push_back(ReadFront(entry));
    }
  }

  absl::StatusOr<ConfigDocument> Finish() {
    CheckReferences(zone_references_, zone_names_, "zone");
    CheckReferences(service_references_, service_names_, "service");
    if (!errors_.status().ok()) return errors_.status();
    auto by_name = [](const auto& a, const auto& b) { return a.name < b.name; };
    std::sort(document_.zones.begin(), document_.zones.end(), by_name);
    std::sort(document_.services.begin(), document_.services.end(), by_name);
    std::sort(document_.fronts.begin(), document_.fronts.end(), by_name);
    for (Service& service : document_.services) {
      std::sort(service.backends.begin(), service.backends.end(), by_name);
    }
    return std::move(document_);
  }

  bool failed() const { return !errors_.status().ok(); }

 private:
  Zone ReadZone(const YamlReader& entry) {
    entry.ExpectKeys({"name", "region", "state"});
    Zone zone;
    zone.name = entry.Name("name");
    zone.region = entry.Name("region", "");
    zone.state =
        entry.Choice("state", {"serving", "out"}, 0) == 0 ? ZoneState::kServing : ZoneState::kOut;
    zone_names_.Add(entry, "name", zone.name);
    return zone;
  }

  Service ReadService(const YamlReader& entry) {
    entry.ExpectKeys({"name", "customer", "warm_up", "backend_defaults", "backends"});
    Service service;
    service.name = entry.Name("name");
    service.customer = entry.Name("customer");
    service.warm_up =
        entry.Span<milliseconds>("warm_up", milliseconds(0), kMaxWarmUp, service.warm_up);
    service_names_.Add(entry, "name", service.name);
    YamlReader defaults = entry.Map("backend_defaults");
    defaults.ExpectKeys({"slots", "cold_slots", "connections"});
    for (const YamlReader& backend : entry.Maps("backends")) {
      service.backends.push_back(ReadBackend(backend, defaults));
    }
    return service;
  }

  BackendServer ReadBackend(const YamlReader& entry, const YamlReader& defaults) {
    entry.ExpectKeys({"name", "zone", "address", "slots", "cold_slots", "connections", "intent"});
    BackendServer backend;
    backend.name = entry.Name("name");
    backend.zone = entry.Name("zone");
    backend.endpoint = entry.Address("address");
    backend.slots = ReadLimit(entry, defaults, "slots", 1, kMaxSlots, std::nullopt);
    backend.cold_slots = ReadLimit(entry, defaults, "cold_slots", 1, backend.slots, 1);
    backend.connections =
        ReadLimit(entry, defaults, "connections", backend.slots, kMaxConnections, std::nullopt);
    backend.intent = entry.Choice("intent", {"serving", "leaving"}, 0) == 0
                         ? BackendIntent::kServing
                         : BackendIntent::kLeaving;
    backend_names_.Add(entry, "name", backend.name);
    addresses_.Add(entry, "address", FormatEndpoint(backend.endpoint));
    zone_references_.push_back({entry, "zone", backend.zone});
    return backend;
  }

  // The limit of the backend server, which overrides the default of its service.
  static int ReadLimit(const YamlReader& entry, const YamlReader& defaults, const char* key,
                       int min, int max, std::optional<std::int64_t> fallback) {
    const YamlReader& source = !entry.Has(key) && defaults.Has(key) ? defaults : entry;
    return static_cast<int>(source.Integer(key, min, max, fallback));
  }

  SearchFront ReadFront(const YamlReader& entry) {
    entry.ExpectKeys({"name", "service", "default_deadline", "objective"});
    SearchFront front;
    front.name = entry.Name("name");
    front.service = entry.Name("service");
    front.default_deadline = entry.Span<milliseconds>("default_deadline", milliseconds(1),
                                                      kMaxDeadline, front.default_deadline);
    YamlReader objective = entry.Map("objective");
    objective.ExpectKeys({"latency", "latency_ratio", "coverage_ratio"});
    Objective defaults;
    front.objective.latency =
        objective.Span<milliseconds>("latency", milliseconds(1), kMaxDeadline, defaults.latency);
    // A ratio of 1 leaves no error budget, which makes the burn rate undefined.
    front.objective.latency_ratio =
        objective.Number("latency_ratio", 0, 0.99999, defaults.latency_ratio);
    front.objective.coverage_ratio =
        objective.Number("coverage_ratio", 0, 0.99999, defaults.coverage_ratio);
    front_names_.Add(entry, "name", front.name);
    service_references_.push_back({entry, "service", front.service});
    return front;
  }

  static void CheckReferences(const std::vector<Reference>& references, const UniqueNames& names,
                              const char* kind) {
    for (const Reference& reference : references) {
      if (names.Contains(reference.name)) continue;
      reference.reader.Fail(reference.key, fmt::format("expected the name of a declared {}, found "
                                                       "\"{}\"",
                                                       kind, reference.name));
    }
  }

  YamlErrors errors_;
  ConfigDocument document_;
  UniqueNames zone_names_{"zone name"};
  UniqueNames service_names_{"service name"};
  UniqueNames backend_names_{"backend server name"};
  UniqueNames front_names_{"front name"};
  UniqueNames addresses_{"backend server address"};
  std::vector<Reference> zone_references_;
  std::vector<Reference> service_references_;
};

absl::StatusOr<std::string> ReadFileText(const std::filesystem::path& path) {
  std::error_code error;
  std::uintmax_t size = std::filesystem::file_size(path, error);
  std::ifstream stream(path, std::ios::binary);
  if (error || !stream) {
    return absl::NotFoundError(fmt::format("cannot read the file {}", path.string()));
  }
  if (size > kMaxDeclarationBytes) {
    return absl::InvalidArgumentError(fmt::format("{} is larger than 64 MB", path.string()));
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

absl::StatusOr<std::vector<std::filesystem::path>> ListYamlFiles(const std::string& path) {
  std::error_code error;
  if (!std::filesystem::is_directory(path, error)) return std::vector{std::filesystem::path(path)};
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
    std::string extension = entry.path().extension().string();
    if (extension == ".yaml" || extension == ".yml") files.push_back(entry.path());
  }
  if (error) return absl::NotFoundError(fmt::format("cannot read the directory {}", path));
  if (files.empty()) {
    return absl::NotFoundError(fmt::format("the directory {} has no file *.yaml", path));
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

absl::StatusOr<ConfigDocument> ParseDeclaration(const std::vector<DeclarationFile>& files) {
  DeclarationParser parser;
  for (const DeclarationFile& file : files) {
    parser.ReadFile(file);
    if (parser.failed()) break;
  }
  return parser.Finish();
}

absl::StatusOr<std::vector<DeclarationFile>> ReadDeclarationFiles(const std::string& path) {
  absl::StatusOr<std::vector<std::filesystem::path>> paths = ListYamlFiles(path);
  if (!paths.ok()) return paths.status();
  std::vector<DeclarationFile> files;
  std::uintmax_t total = 0;
  for (const std::filesystem::path& file : *paths) {
    absl::StatusOr<std::string> text = ReadFileText(file);
    if (!text.ok()) return text.status();
    total += text->size();
    if (total > kMaxDeclarationBytes) {
      return absl::InvalidArgumentError(fmt::format("{} holds more than 64 MB", path));
    }
    files.push_back({file.string(), *std::move(text)});
  }
  return files;
}

}  // namespace damaskroute
