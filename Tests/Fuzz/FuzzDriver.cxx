// Runs a fuzz target on reproducible, seeded mutations of its valid inputs:
// `fuzz-driver TARGET ROUNDS SEED`. A crash, a sanitizer report or a violated
// invariant terminates the program. The file fuzz-last-input holds the target
// and the last multiple of 1000 rounds that was reached.

#include "FuzzTargets.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <random>
#include <string>

namespace {

constexpr std::size_t kMaxInput = 4096;

std::string
Mutate(std::string aInput, std::mt19937_64& aRandom)
{
  const auto randomBelow = [&aRandom](std::size_t aLimit) {
    return static_cast<std::size_t>(aRandom() %
                                    std::max<std::size_t>(aLimit, 1));
  };
  const std::size_t changes = 1 + randomBelow(6);
  for (std::size_t change = 0; change < changes; ++change) {
    const std::size_t at = randomBelow(aInput.size());
    switch (randomBelow(6)) {
      case 0:
        if (!aInput.empty()) {
          aInput[at] = static_cast<char>(aInput[at] ^ (1U << randomBelow(8)));
        }
        break;
      case 1:
        aInput.insert(at, 1, static_cast<char>(aRandom()));
        break;
      case 2:
        aInput.erase(at, 1 + randomBelow(8));
        break;
      case 3:
        aInput.resize(at);
        break;
      case 4:
        aInput.insert(
          at, aInput.substr(randomBelow(aInput.size()), randomBelow(64)));
        break;
      default:
        // Simulates lengths far beyond the size of the input.
        aInput.replace(at, 8, std::string(8, static_cast<char>(0xff)));
        break;
    }
  }
  aInput.resize(std::min(aInput.size(), kMaxInput));
  return aInput;
}

}

int
main(int argc, char** argv)
{
  if (argc != 4) {
    std::cerr << "usage: fuzz-driver TARGET ROUNDS SEED\n";
    return 2;
  }
  const std::string name = argv[1];
  const auto targets = cactusrail::fuzz::Targets();
  const auto target =
    std::find_if(targets.begin(), targets.end(), [&name](const auto& aTarget) {
      return aTarget.name_ == name;
    });
  if (target == targets.end()) {
    std::cerr << "There is no fuzz target '" << name << "'.\n";
    return 2;
  }
  const std::uint64_t rounds = std::stoull(argv[2]);
  std::mt19937_64 random(std::stoull(argv[3]));
  const std::vector<std::string> seeds = target->seeds_();
  for (const std::string& seed : seeds) {
    target->run_(seed);
  }
  for (std::uint64_t round = 0; round < rounds; ++round) {
    const std::string input = Mutate(seeds[random() % seeds.size()], random);
    if (round % 1000 == 0) {
      std::ofstream("fuzz-last-input") << name << " round " << round << '\n';
    }
    target->run_(input);
  }
  std::cout << name << ": " << rounds << " inputs, none broke it\n";
  return 0;
}
