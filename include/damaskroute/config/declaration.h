#ifndef DAMASKROUTE_CONFIG_DECLARATION_H_
#define DAMASKROUTE_CONFIG_DECLARATION_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "damaskroute/config/config_document.h"

namespace damaskroute {

/// One YAML file of a declaration. `name` is used in error messages only.
struct DeclarationFile {
  std::string name;
  std::string text;

  friend bool operator==(const DeclarationFile&, const DeclarationFile&) = default;
};

/// Parses a declaration, which describes the whole configuration. The lists of the files are
/// concatenated and sorted by name, so that equal content gives equal documents. Revision and
/// change id stay empty.
///
/// InvalidArgument with `FILE:LINE:COLUMN: what was expected` for the first error: syntax, unknown
/// key, wrong type or unit, value out of range, duplicate name or address, reference to an
/// undeclared name.
absl::StatusOr<ConfigDocument> ParseDeclaration(const std::vector<DeclarationFile>& files);

/// Reads one file, or all files `*.yaml` and `*.yml` of a directory in the order of their names.
/// NotFound if there is none; InvalidArgument above 64 MB in total.
absl::StatusOr<std::vector<DeclarationFile>> ReadDeclarationFiles(const std::string& path);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_DECLARATION_H_
