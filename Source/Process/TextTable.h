#pragma once

#include <string>
#include <vector>

namespace cactusrail {

/** Rows of text in columns, for people. The first row holds the titles. */
class TextTable
{
public:
  void AddRow(std::vector<std::string> aCells);

  /** The rows, each column as wide as its widest cell, two spaces between. */
  std::string Text() const;

private:
  std::vector<std::vector<std::string>> rows_;
};

}
