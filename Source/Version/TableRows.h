#pragma once

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/** A row of the platform's table service. */
struct TableRow
{
  std::string key_;
  /** Increases with every write of the row; 0 means that the row is absent. */
  std::uint64_t revision_ = 0;
  std::string value_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("key", key_),
       cereal::make_nvp("revision", revision_),
       cereal::make_nvp("value", value_));
  }
};

/** Condition of a transaction: the row must be at this revision (0: absent). */
struct RowCondition
{
  std::string key_;
  std::uint64_t revision_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("key", key_), cereal::make_nvp("revision", revision_));
  }
};

/** A new value for a row. */
struct RowWrite
{
  std::string key_;
  std::string value_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("key", key_), cereal::make_nvp("value", value_));
  }
};

/** Writes and deletions that apply atomically if all conditions hold. */
struct TableTransaction
{
  std::vector<RowCondition> conditions_;
  std::vector<RowWrite> puts_;
  std::vector<std::string> deletes_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("conditions", conditions_),
       cereal::make_nvp("puts", puts_),
       cereal::make_nvp("deletes", deletes_));
  }
};

/** Result of a transaction. */
struct TableOutcome
{
  bool applied_ = false;
  /** If applied: the new revisions of the written rows, without values. If not:
   * the current rows whose conditions failed. */
  std::vector<TableRow> rows_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("applied", applied_), cereal::make_nvp("rows", rows_));
  }
};

/** Response to a read. */
struct TableListing
{
  std::vector<TableRow> rows_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("rows", rows_));
  }
};

}
