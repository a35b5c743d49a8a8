#include "Request/ClaimTransaction.h"

#include "Version/JsonText.h"

#include <QCryptographicHash>

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

std::string
ClaimKey(const WriteClaim& aWrite)
{
  const QByteArray digest = QCryptographicHash::hash(
    QByteArray::fromStdString(aWrite.key_), QCryptographicHash::Sha256);
  return "claim/" + aWrite.tenant_ + "/" + digest.toHex().toStdString();
}

/** A claim's row whose condition failed. */
ClaimWriteResult
RefusedBy(const TableRow& aRow)
{
  ClaimWriteResult result;
  result.outcome_ = ClaimWrite::Refused;
  result.revision_ = aRow.revision_;
  if (aRow.revision_ == 0) {
    return result;
  }
  const Result<ClaimRecord> parsed = FromJson<ClaimRecord>(aRow.value_);
  if (const auto* found = std::get_if<ClaimRecord>(&parsed)) {
    result.record_ = *found;
  } else {
    result.outcome_ = ClaimWrite::Unknown;
  }
  return result;
}

/** Returns the rows whose conditions failed in a transaction of these keys. */
std::vector<ClaimBatcher::RefusedRow>
RefusedRows(const std::vector<std::string>& aKeys, const TableOutcome& aOutcome)
{
  std::vector<ClaimBatcher::RefusedRow> refused;
  for (const TableRow& row : aOutcome.rows_) {
    const auto found = std::find(aKeys.begin(), aKeys.end(), row.key_);
    if (found != aKeys.end()) {
      refused.emplace_back(static_cast<std::size_t>(found - aKeys.begin()),
                           RefusedBy(row));
    }
  }
  return refused;
}

/** Returns the revisions of the written rows, up to the first missing one. */
std::vector<std::uint64_t>
Revisions(const std::vector<std::string>& aKeys, const TableOutcome& aOutcome)
{
  std::vector<std::uint64_t> revisions;
  for (const TableRow& row : aOutcome.rows_) {
    const std::size_t place = revisions.size();
    if (place == aKeys.size() || aKeys[place] != row.key_) {
      break;
    }
    revisions.push_back(row.revision_);
  }
  return revisions;
}

}

ClaimTransaction::ClaimTransaction(const ClaimBatcher::Batch& aBatch)
  : batchId_(aBatch.id_)
{
  for (const WriteClaim& write : aBatch.writes_) {
    keys_.push_back(ClaimKey(write));
    transaction_.conditions_.push_back(
      { keys_.back(), write.expectedRevision_ });
    transaction_.puts_.push_back({ keys_.back(), ToJson(write.record_) });
  }
}

TableTransaction
ClaimTransaction::Transaction()
{
  return std::exchange(transaction_, {});
}

std::vector<ClaimBatcher::Ended>
ClaimTransaction::Read(const Result<TableOutcome>& aResult,
                       ClaimBatcher& aBatcher) const
{
  if (const auto* failure = std::get_if<Failure>(&aResult)) {
    const ClaimWrite outcome = failure->verdict_ == Verdict::DidNotRun
                                 ? ClaimWrite::NotWritten
                                 : ClaimWrite::Unknown;
    return aBatcher.OnFailed(batchId_, outcome);
  }
  const auto& answer = std::get<TableOutcome>(aResult);
  if (answer.applied_) {
    return aBatcher.OnApplied(batchId_, Revisions(keys_, answer));
  }
  return aBatcher.OnRefused(batchId_, RefusedRows(keys_, answer));
}

}
