#include "damaskroute/api/rows.h"

#include "rapidjson/memorystream.h"
#include "rapidjson/reader.h"

namespace damaskroute {
namespace {

constexpr std::string_view kWhiteSpace = " \t\r\n";

std::string_view Trim(std::string_view text) {
  std::size_t first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kWhiteSpace) - first + 1);
}

}  // namespace

std::optional<std::string> ExtractRows(std::string_view body) {
  body = Trim(body);
  if (body.size() < 2 || body.front() != '[' || body.back() != ']') return std::nullopt;
  rapidjson::MemoryStream stream(body.data(), body.size());
  rapidjson::BaseReaderHandler<> ignore_values;
  rapidjson::Reader reader;
  // Parses iteratively because the backend server controls the nesting depth.
  if (!reader.Parse<rapidjson::kParseIterativeFlag>(stream, ignore_values)) return std::nullopt;
  return std::string(Trim(body.substr(1, body.size() - 2)));
}

}  // namespace damaskroute
