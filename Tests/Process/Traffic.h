#pragma once

#include "Bench.h"

#include <string>
#include <utility>
#include <vector>

/** Callers that go on until told to stop, each with one call at a time. */
class Traffic
{
public:
  Traffic(Bench& aBench, CallPlan aPlan)
    : bench_(aBench)
    , plan_(std::move(aPlan))
  {
  }

  /** Keeps up the number of open calls; call it from a waiting loop. */
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
