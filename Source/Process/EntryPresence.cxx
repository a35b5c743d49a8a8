#include "Process/EntryPresence.h"

#include "Connection/TableClient.h"
#include "Version/JsonText.h"

#include <QTimer>

namespace cactusrail {

namespace {

constexpr Millis kTableTimeout{ 2000 };
/** Delay before the second refresh, shorter than kRefreshInterval so that
 * entries that start at the same time find each other. */
constexpr Millis kSecondRefreshDelay{ 1000 };
constexpr const char* kPrefix = "entry/";

}

class EntryPresence::Private : public QObject
{
public:
  Private(TableClient& aTable, const std::string& aOwnName)
    : table_(aTable)
    , directory_(aOwnName)
  {
  }

  void Refresh();

  TableClient& table_;
  EntryDirectory directory_;
  EntryRecord own_;
  QTimer repeat_;
};

void
EntryPresence::Private::Refresh()
{
  ++own_.incarnation_;
  TableTransaction transaction;
  transaction.puts_.push_back({ kPrefix + own_.name_, ToJson(own_) });
  table_.Transact(transaction,
                  ReadMonotonicClock() + kTableTimeout,
                  [](const Result<TableOutcome>&) {});
  table_.Read(kPrefix,
              ReadMonotonicClock() + kTableTimeout,
              [this](const Result<std::vector<TableRow>>& aRows) {
                const auto* rows = std::get_if<std::vector<TableRow>>(&aRows);
                if (rows != nullptr) {
                  directory_.OnRows(*rows, ReadMonotonicClock());
                }
              });
}

EntryPresence::EntryPresence(TableClient& aTable, const std::string& aOwnName)
  : private_(std::make_unique<Private>(aTable, aOwnName))
{
}

EntryPresence::~EntryPresence() = default;

void
EntryPresence::Start(const EntryRecord& aOwn)
{
  Private* self = private_.get();
  self->own_ = aOwn;
  QObject::connect(
    &self->repeat_, &QTimer::timeout, self, [self] { self->Refresh(); });
  self->repeat_.start(EntryDirectory::kRefreshInterval);
  self->Refresh();
  QTimer::singleShot(kSecondRefreshDelay, self, [self] { self->Refresh(); });
}

const EntryDirectory&
EntryPresence::Directory() const
{
  return private_->directory_;
}

}
