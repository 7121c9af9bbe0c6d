#include "damaskroute/ctl/json_table.h"

#include <algorithm>
#include <vector>

#include "fmt/format.h"
#include "rapidjson/document.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace damaskroute {
namespace {

std::string ReplaceControlCharacters(std::string text) {
  for (char& c : text) {
    auto byte = static_cast<unsigned char>(c);
    if ((byte < 0x20 && c != '\n') || byte == 0x7f) c = '?';
  }
  return text;
}

std::string FormatCell(const rapidjson::Value& value) {
  if (value.IsString()) {
    std::string text = ReplaceControlCharacters({value.GetString(), value.GetStringLength()});
    std::replace(text.begin(), text.end(), '\n', ' ');
    return text;
  }
  if (value.IsDouble()) return fmt::format("{:.4g}", value.GetDouble());
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return ReplaceControlCharacters(buffer.GetString());
}

bool IsTable(const rapidjson::Value& list) {
  return !list.Empty() && std::all_of(list.Begin(), list.End(), [](const rapidjson::Value& entry) {
    return entry.IsObject();
  });
}

std::vector<std::vector<std::string>> FormatRows(const rapidjson::Value& list) {
  const rapidjson::Value& first = *list.Begin();
  std::vector<std::vector<std::string>> rows(1);
  for (auto member = first.MemberBegin(); member != first.MemberEnd(); ++member) {
    rows[0].push_back(FormatCell(member->name));
  }
  for (const rapidjson::Value& entry : list.GetArray()) {
    std::vector<std::string> row;
    for (auto column = first.MemberBegin(); column != first.MemberEnd(); ++column) {
      auto member = entry.FindMember(column->name);
      row.push_back(member == entry.MemberEnd() ? "" : FormatCell(member->value));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string FormatTable(const rapidjson::Value& list) {
  std::vector<std::vector<std::string>> rows = FormatRows(list);
  std::vector<std::size_t> widths(rows[0].size(), 0);
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line = " ";
    for (std::size_t i = 0; i < row.size(); ++i) line += fmt::format(" {:<{}}", row[i], widths[i]);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace

std::string JsonTable(const std::string& json) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) {
    return ReplaceControlCharacters(json) + "\n";
  }
  const rapidjson::Value& object = document;
  std::string scalars;
  std::string lists;
  for (auto member = object.MemberBegin(); member != object.MemberEnd(); ++member) {
    std::string key = FormatCell(member->name);
    const rapidjson::Value& value = member->value;
    if (!value.IsArray()) {
      scalars += fmt::format("{}: {}\n", key, FormatCell(value));
    } else if (IsTable(value)) {
      lists += fmt::format("{}:\n{}", key, FormatTable(value));
    } else if (!value.Empty()) {
      lists += fmt::format("{}:\n", key);
      for (const rapidjson::Value& entry : value.GetArray()) {
        lists += fmt::format("  {}\n", FormatCell(entry));
      }
    }
  }
  return scalars + lists;
}

}  // namespace damaskroute
