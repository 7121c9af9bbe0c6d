#include "standins/index_rows.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <array>
#include <utility>

#include "damaskroute/core/hash.h"
#include "damaskroute/core/json_member.h"
#include "fmt/format.h"

namespace damaskroute::standins {
namespace {

constexpr std::array<std::string_view, 12> kGenera = {
    "Solanum", "Phaseolus", "Zea",     "Chenopodium", "Amaranthus", "Lupinus",
    "Oxalis",  "Ullucus",   "Manihot", "Ipomoea",     "Capsicum",   "Cucurbita"};

std::uint64_t FieldHash(const IndexSpec& spec, std::uint64_t record, std::uint64_t field) {
  std::array<std::uint64_t, 2> input = {record, field};
  return Hash64({reinterpret_cast<const char*>(input.data()), sizeof(input)}, spec.seed);
}

IndexRow MakeRow(const IndexSpec& spec, IndexVersion version, std::uint64_t record) {
  // The key of record i lies in the i-th of `records` equal sections of the key space.
  std::uint64_t first = record * kKeySpaceSize / spec.records;
  std::uint64_t last = (record + 1) * kKeySpaceSize / spec.records;
  IndexRow row;
  row.key = static_cast<std::uint32_t>(first + FieldHash(spec, record, 0) % (last - first));
  row.genus = kGenera[FieldHash(spec, record, 1) % kGenera.size()];
  // Viability differs between versions, as it does when seeds are tested again.
  row.viability = static_cast<double>(FieldHash(spec, record, 2 + version) % 1001) / 1000;
  row.json =
      fmt::format(R"({{"key":{},"id":"ACC-{:08}","genus":"{}","viability":{:.3f},"index":{}}})",
                  row.key, record, row.genus, row.viability, version);
  return row;
}

}  // namespace

absl::StatusOr<RowFilter> RowFilter::Parse(std::string_view json) {
  RowFilter filter;
  if (json.empty()) return filter;
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) {
    return absl::InvalidArgumentError("the query is not a JSON object");
  }
  if (const auto* genus = FindJsonMember(document, "genus")) {
    if (!genus->IsString()) return absl::InvalidArgumentError("genus is not a string");
    filter.genus.assign(genus->GetString(), genus->GetStringLength());
  }
  if (const auto* viability = FindJsonMember(document, "min_viability")) {
    if (!viability->IsNumber()) {
      return absl::InvalidArgumentError("min_viability is not a number");
    }
    filter.min_viability = viability->GetDouble();
  }
  if (const auto* limit = FindJsonMember(document, "limit")) {
    if (!limit->IsUint64()) return absl::InvalidArgumentError("limit is not a count");
    filter.limit = limit->GetUint64();
  }
  return filter;
}

IndexRows::IndexRows(const IndexSpec& spec, IndexVersion version, const KeyRangeSet& held)
    : held_(held) {
  if (spec.records == 0) return;
  for (const KeyRange& range : held.ranges()) {
    // Starts one record early, because the section of the first record may begin before the range,
    // and filters by key.
    std::uint64_t record = range.low * spec.records / kKeySpaceSize;
    for (record = record > 0 ? record - 1 : 0; record < spec.records; ++record) {
      if (record * kKeySpaceSize / spec.records >= range.high) break;
      IndexRow row = MakeRow(spec, version, record);
      if (row.key >= range.low && row.key < range.high) rows_.push_back(std::move(row));
    }
  }
}

KeyRange IndexRows::FirstHeldOverlap(const KeyRange& requested) const {
  for (const KeyRange& range : held_.ranges()) {
    KeyRange overlap = Intersect(requested, range);
    if (!overlap.IsEmpty()) return overlap;
  }
  return {};
}

std::string IndexRows::Select(const RowFilter& filter, const KeyRange& range) const {
  std::string json = "[";
  auto row = std::lower_bound(rows_.begin(), rows_.end(), range.low,
                              [](const IndexRow& a, std::uint64_t low) { return a.key < low; });
  std::uint64_t count = 0;
  for (; row != rows_.end() && row->key < range.high && count < filter.limit; ++row) {
    if (!filter.genus.empty() && row->genus != filter.genus) continue;
    if (row->viability < filter.min_viability) continue;
    if (count++ > 0) json += ',';
    json += row->json;
  }
  json += ']';
  return json;
}

}  // namespace damaskroute::standins
