#include "Process/ExitCode.h"

namespace cactusrail {

ExitCode
ExitCodeOfStatus(int aStatus)
{
  constexpr int kFirstRedirect = 300;
  constexpr int kFirstSuccess = 200;
  if (aStatus >= kFirstSuccess && aStatus < kFirstRedirect) {
    return ExitCode::Done;
  }
  switch (aStatus) {
    case 400:
    case 422:
      return ExitCode::Usage;
    case 401:
    case 403:
    case 429:
      return ExitCode::Refused;
    case 404:
      return ExitCode::NotFound;
    case 409:
    case 412:
      return ExitCode::Conflict;
    case 502:
    case 503:
    case 504:
      return ExitCode::Unreachable;
    default:
      return ExitCode::Other;
  }
}

ExitCode
ExitCodeOfFailure(const Failure& aFailure)
{
  switch (aFailure.kind_) {
    case FailureKind::BadInput:
      return ExitCode::Usage;
    case FailureKind::NotFound:
      return ExitCode::NotFound;
    case FailureKind::Conflict:
      return ExitCode::Conflict;
    case FailureKind::Refused:
      return ExitCode::Refused;
    case FailureKind::Unreachable:
    case FailureKind::TimedOut:
      return ExitCode::Unreachable;
    case FailureKind::Broken:
      return ExitCode::Other;
  }
  return ExitCode::Other;
}

}
