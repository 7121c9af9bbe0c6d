#include "damaskroute/burn/burn_report.h"

#include <algorithm>
#include <array>
#include <map>

#include "fmt/format.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace damaskroute {
namespace {

constexpr std::size_t kChartMinutes = 60;
constexpr std::array<ObjectiveKind, 2> kObjectiveKinds{ObjectiveKind::kLatency,
                                                       ObjectiveKind::kCoverage};

// Numbers of all queries, of those that missed the objective, and of those allowed to miss it.
struct Usage {
  std::uint64_t queries = 0;
  std::uint64_t missed = 0;
  double allowed = 0;

  void Add(const Usage& other) {
    queries += other.queries;
    missed += other.missed;
    allowed += other.allowed;
  }
  double BurnRate() const { return allowed > 0 ? static_cast<double>(missed) / allowed : 0; }
};

Usage UsageOf(const MinuteCounts& counts, const Objective& objective, ObjectiveKind kind) {
  bool latency = kind == ObjectiveKind::kLatency;
  Usage usage;
  usage.queries = counts.total();
  usage.missed = (latency ? counts.late : counts.incomplete) + counts.late_incomplete;
  double ratio = latency ? objective.latency_ratio : objective.coverage_ratio;
  usage.allowed = (1 - ratio) * static_cast<double>(usage.queries);
  return usage;
}

// Usage per minute, newest first: entry 0 is the latest minute.
using UsageByAge = std::vector<Usage>;

void AddFront(const FrontCounters& front, ObjectiveKind kind, UsageByAge& ages) {
  if (ages.size() < front.minutes.size()) ages.resize(front.minutes.size());
  for (std::size_t age = 0; age < front.minutes.size(); ++age) {
    const MinuteCounts& counts = front.minutes[front.minutes.size() - 1 - age];
    ages[age].Add(UsageOf(counts, front.objective, kind));
  }
}

Usage SumOfLatest(const UsageByAge& ages, std::size_t minutes) {
  Usage sum;
  for (std::size_t age = 0; age < std::min(minutes, ages.size()); ++age) sum.Add(ages[age]);
  return sum;
}

BurnRow MakeRow(const std::string& customer, const FrontName& front, ObjectiveKind kind,
                const UsageByAge& ages) {
  Usage period = SumOfLatest(ages, ages.size());
  BurnRow row{customer, front, kind, period.queries, period.missed, 1 - period.BurnRate(),
              0,        0,     {}};
  row.burn_5min = SumOfLatest(ages, 5).BurnRate();
  row.burn_1h = SumOfLatest(ages, 60).BurnRate();
  for (std::size_t age = std::min(kChartMinutes, ages.size()); age-- > 0;) {
    row.minutes.push_back(ages[age].BurnRate());
  }
  return row;
}

const char* KindName(ObjectiveKind kind) {
  return kind == ObjectiveKind::kLatency ? "latency" : "coverage";
}

}  // namespace

BurnReport ComputeBurn(const std::vector<FrontCounters>& fronts) {
  BurnReport report;
  std::map<std::string, std::map<FrontName, const FrontCounters*>> customers;
  for (const FrontCounters& front : fronts) {
    customers[front.customer][front.front] = &front;
    report.period_minutes = std::max(report.period_minutes, front.minutes.size());
  }
  for (const auto& [customer, by_name] : customers) {
    for (ObjectiveKind kind : kObjectiveKinds) {
      UsageByAge customer_usage;
      for (const auto& [name, front] : by_name) AddFront(*front, kind, customer_usage);
      report.rows.push_back(MakeRow(customer, "", kind, customer_usage));
    }
    for (const auto& [name, front] : by_name) {
      for (ObjectiveKind kind : kObjectiveKinds) {
        UsageByAge front_usage;
        AddFront(*front, kind, front_usage);
        report.rows.push_back(MakeRow(customer, name, kind, front_usage));
      }
    }
  }
  return report;
}

std::string BurnText(const BurnReport& report) {
  std::string text =
      fmt::format("period: {} minutes, as seen by this node\n", report.period_minutes);
  text += fmt::format("{:<16} {:<28} {:<9} {:>10} {:>8} {:>11} {:>9} {:>9}\n", "customer", "front",
                      "objective", "queries", "missed", "budget left", "burn 5min", "burn 1h");
  for (const BurnRow& row : report.rows) {
    text += fmt::format("{:<16} {:<28} {:<9} {:>10} {:>8} {:>10.1f}% {:>9.2f} {:>9.2f}\n",
                        row.customer, row.front.empty() ? "(all)" : row.front, KindName(row.kind),
                        row.queries, row.missed, row.budget_left * 100, row.burn_5min, row.burn_1h);
  }
  return text;
}

std::string BurnJson(const BurnReport& report) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  auto text = [&](const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  auto number = [&](const char* key, double value) {
    writer.Key(key);
    writer.Double(value);
  };
  writer.StartObject();
  writer.Key("period_minutes");
  writer.Uint64(report.period_minutes);
  writer.Key("rows");
  writer.StartArray();
  for (const BurnRow& row : report.rows) {
    writer.StartObject();
    text("customer", row.customer);
    text("front", row.front);
    text("objective", KindName(row.kind));
    writer.Key("queries");
    writer.Uint64(row.queries);
    writer.Key("missed");
    writer.Uint64(row.missed);
    number("budget_left", row.budget_left);
    number("burn_5min", row.burn_5min);
    number("burn_1h", row.burn_1h);
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace damaskroute
