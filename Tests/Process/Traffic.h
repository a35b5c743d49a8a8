#pragma once

#include "Bench.h"

#include <string>
#include <utility>
#include <vector>

/** Keeps a number of concurrent calls open to generate load. */
class Traffic
{
public:
  Traffic(Bench& aBench, CallPlan aPlan)
    : bench_(aBench)
    , plan_(std::move(aPlan))
  {
  }

  /** Replaces ended calls; must be called repeatedly, as in WaitUntil. */
  void Pump(const std::string& aEntry, std::size_t aOpen)
  {
    std::erase_if(
      open_, [this](std::size_t aIndex) { return bench_.Call(aIndex).ended_; });
    while (open_.size() < aOpen) {
      open_.push_back(bench_.Send(aEntry, plan_));
    }
  }

private:
  Bench& bench_;
  CallPlan plan_;
  std::vector<std::size_t> open_;
};
