#pragma once

#include <string>
#include <vector>

namespace cactusrail {

/** Text table with aligned columns. The first row contains the titles. */
class TextTable
{
public:
  void AddRow(std::vector<std::string> aCells);

  /** Formats the rows; columns are as wide as their widest cell and separated
   * by two spaces. */
  std::string Text() const;

private:
  std::vector<std::vector<std::string>> rows_;
};

}
