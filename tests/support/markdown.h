#ifndef DAMASKROUTE_TESTS_SUPPORT_MARKDOWN_H_
#define DAMASKROUTE_TESTS_SUPPORT_MARKDOWN_H_

#include <fstream>
#include <string>
#include <vector>

namespace damaskroute::testing {

/// A fenced code block of a Markdown page.
struct FencedBlock {
  std::string info;  ///< Text after the opening fence, for example `json 200`.
  std::string text;  ///< Lines between the fences, including line breaks.
  int line = 0;      ///< Line number of the opening fence, from 1.
};

/// Returns the fenced code blocks of a page in order; empty if the page cannot be read.
inline std::vector<FencedBlock> ReadFencedBlocks(const std::string& path) {
  std::vector<FencedBlock> blocks;
  std::ifstream page(path);
  std::string line;
  bool inside = false;
  for (int number = 1; std::getline(page, line); ++number) {
    if (line.rfind("```", 0) == 0) {
      inside = !inside;
      if (inside) blocks.push_back({line.substr(3), "", number});
    } else if (inside) {
      blocks.back().text += line + "\n";
    }
  }
  return blocks;
}

}  // namespace damaskroute::testing

#endif  // DAMASKROUTE_TESTS_SUPPORT_MARKDOWN_H_
