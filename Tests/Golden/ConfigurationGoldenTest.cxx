#include "ConfigurationSession.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

using namespace cactusrail;

namespace {

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}

// The comment at the head of each script describes the failure that it guards
// against.
Test(Golden, Promise9ConfigurationIsInForceAndNeverReverts)
{
  std::vector<std::filesystem::path> scripts;
  for (const auto& file : std::filesystem::directory_iterator(GOLDEN_FOLDER)) {
    if (file.path().extension() == ".script" &&
        file.path().filename().string().starts_with("promise9-")) {
      scripts.push_back(file.path());
    }
  }
  std::sort(scripts.begin(), scripts.end());
  cr_assert(!scripts.empty());
  std::size_t failed = 0;
  for (const std::filesystem::path& script : scripts) {
    ConfigurationSession session;
    session.Run(ReadFile(script));
    std::filesystem::path golden = script;
    golden.replace_extension(".golden");
    if (std::getenv("UPDATE_GOLDEN") != nullptr) {
      std::ofstream(golden) << session.Transcript();
    }
    const bool equal = ReadFile(golden) == session.Transcript();
    std::cerr << script.stem().string() << ": "
              << (equal ? "as recorded" : "THE TRANSCRIPT CHANGED") << "\n"
              << session.Broken();
    failed += equal && session.Broken().empty() ? 0 : 1;
  }
  cr_assert(failed == 0, "%zu sessions failed", failed);
}
