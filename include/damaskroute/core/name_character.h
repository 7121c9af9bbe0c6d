#ifndef DAMASKROUTE_CORE_NAME_CHARACTER_H_
#define DAMASKROUTE_CORE_NAME_CHARACTER_H_

namespace damaskroute {

/// Whether a name may contain `c`: ASCII letters and digits, `.`, `_` and `-`.
constexpr bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

}  // namespace damaskroute

#endif  // DAMASKROUTE_CORE_NAME_CHARACTER_H_
