#include "Request/ClaimRecord.h"

#include <QCryptographicHash>

#include <array>

namespace cactusrail {

ClaimState
ClassifyClaim(const ClaimWriteResult& aRow,
              std::string_view aRequestId,
              std::string_view aFingerprint)
{
  const ClaimRecord& record = aRow.record_;
  if (aRow.revision_ == 0) {
    return ClaimState::Free;
  }
  // The answer to this request's write was lost after it was applied. If the
  // row were treated as another request's claim, a request that never ran would
  // block the key.
  if (record.requestId_ == aRequestId && !record.finished_) {
    return ClaimState::OwnedByRequest;
  }
  if (record.fingerprint_ != aFingerprint) {
    return ClaimState::DifferentRequest;
  }
  if (!record.finished_) {
    return ClaimState::InProgress;
  }
  if (record.verdict_ == Verdict::DidNotRun) {
    return ClaimState::Free;
  }
  if (record.verdict_ == Verdict::MayHaveRun) {
    return ClaimState::UnknownOutcome;
  }
  return record.HasWholeAnswer() ? ClaimState::Replay
                                 : ClaimState::AnswerNotStored;
}

std::string
RequestFingerprint(std::string_view aService,
                   std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aBody)
{
  QCryptographicHash hash(QCryptographicHash::Sha256);
  const std::array<std::string_view, 4> parts{
    aService, aMethod, aTarget, aBody
  };
  for (const std::string_view part : parts) {
    // The length prefix keeps the boundaries between the parts unambiguous.
    hash.addData(QByteArray::number(static_cast<qulonglong>(part.size())));
    hash.addData(QByteArrayView(":"));
    hash.addData(
      QByteArrayView(part.data(), static_cast<qsizetype>(part.size())));
  }
  return hash.result().toHex().toStdString();
}

}
