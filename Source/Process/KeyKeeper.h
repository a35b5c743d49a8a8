#pragma once

#include "Connection/KeyRing.h"
#include "Connection/RowStore.h"
#include "Process/FleetRecords.h"
#include "Process/Guarded.h"
#include "Process/Log.h"

#include <QObject>
#include <QRandomGenerator>
#include <QTimer>

#include <array>
#include <functional>
#include <string>
#include <utility>

namespace cactusrail {

/**
 * Loads the key that all processes of the fleet share. The key is stored in the
 * table, which only hosts of the fleet can reach, because hosts store no state
 * and settings files must not contain secrets. The first process creates the
 * key, on condition that no key exists. Owned by a process; exists until the
 * key is loaded.
 */
template<RowStore Store>
class KeyKeeper : public QObject
{
public:
  KeyKeeper(Store& aStore, std::function<void()> aReady)
    : store_(aStore)
    , ready_(std::move(aReady))
  {
  }

  void Start() { Read(); }

private:
  static constexpr Millis kTimeout{ 1000 };
  static constexpr Millis kRetry{ 200 };

  void Retry()
  {
    QTimer::singleShot(kRetry, this, [this] { Read(); });
  }

  void Read()
  {
    const RowId id = KeyRowId();
    store_.Read({ id.table_, id.part_, id.key_, {} },
                ReadMonotonicClock() + kTimeout,
                Guarded(this, [this, id](Result<RowPage> aPage) {
                  const auto* page = std::get_if<RowPage>(&aPage);
                  if (page == nullptr) {
                    Retry();
                  } else if (page->rows_.empty() ||
                             page->rows_.front().id_.key_ != id.key_) {
                    Write();
                  } else {
                    Use(page->rows_.front().value_);
                  }
                }));
  }

  void Write()
  {
    constexpr std::size_t kWords = 8;
    std::array<quint32, kWords> words{};
    QRandomGenerator::system()->fillRange(words.data(), kWords);
    const QByteArray bytes(reinterpret_cast<const char*>(words.data()),
                           sizeof(words));
    RowTransaction transaction;
    transaction.conditions_.push_back({ KeyRowId(), 0 });
    transaction.puts_.push_back(
      { KeyRowId(), "fleet:" + bytes.toHex().toStdString() });
    // Read the row after any outcome: the response may be lost, or another
    // process may have written the key.
    store_.Write(transaction,
                 ReadMonotonicClock() + kTimeout,
                 Guarded(this, [this](const Commit&) { Retry(); }));
  }

  void Use(const std::string& aText)
  {
    Result<KeyRing> ring = KeyRing::Parse(aText);
    if (const auto* failure = std::get_if<Failure>(&ring)) {
      LogProblem("key-unreadable", { { "reason", failure->message_ } });
      Retry();
      return;
    }
    KeyHolder::OfProcess().Replace(std::move(std::get<KeyRing>(ring)));
    LogChange("key-read", {});
    ready_();
  }

  Store& store_;
  std::function<void()> ready_;
};

}
