#include "Process/TextTable.h"

#include <algorithm>

namespace cactusrail {

void
TextTable::AddRow(std::vector<std::string> aCells)
{
  rows_.push_back(std::move(aCells));
}

std::string
TextTable::Text() const
{
  std::vector<std::size_t> widths;
  for (const std::vector<std::string>& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      if (column + 1 < row.size()) {
        line.append(widths[column] - row[column].size() + 2, ' ');
      }
    }
    text += line + "\n";
  }
  return text;
}

}
