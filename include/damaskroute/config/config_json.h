#ifndef DAMASKROUTE_CONFIG_CONFIG_JSON_H_
#define DAMASKROUTE_CONFIG_CONFIG_JSON_H_

#include <string>

#include "damaskroute/config/config_document.h"

namespace damaskroute {

/// `document` as JSON in the form of a declaration, which `ParseDeclaration` accepts. Revision and
/// change id are omitted.
std::string ConfigJson(const ConfigDocument& document);

}  // namespace damaskroute

#endif  // DAMASKROUTE_CONFIG_CONFIG_JSON_H_
