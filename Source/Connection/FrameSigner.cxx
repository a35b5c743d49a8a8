#include "Connection/FrameSigner.h"

#include <QMessageAuthenticationCode>
#include <QRandomGenerator>
#include <QtEndian>

#include <array>

namespace cactusrail {

std::string
MakeTag(std::string_view aSecret, std::string_view aMessage)
{
  QMessageAuthenticationCode code(QCryptographicHash::Sha256);
  code.setKey(
    QByteArray(aSecret.data(), static_cast<qsizetype>(aSecret.size())));
  code.addData(aMessage.data(), static_cast<qsizetype>(aMessage.size()));
  return code.result().toStdString();
}

bool
SameTag(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned int difference = 0;
  for (std::size_t index = 0; index < aLeft.size(); ++index) {
    difference |= static_cast<unsigned char>(aLeft[index]) ^
                  static_cast<unsigned char>(aRight[index]);
  }
  return difference == 0;
}

std::string
MakeNonce()
{
  std::array<quint32, kNonceBytes / sizeof(quint32)> words{};
  QRandomGenerator::system()->fillRange(words.data(), words.size());
  std::string nonce(kNonceBytes, '\0');
  for (std::size_t index = 0; index < words.size(); ++index) {
    qToLittleEndian(words.at(index), nonce.data() + index * sizeof(quint32));
  }
  return nonce;
}

FrameSigner::FrameSigner(std::string aSessionKey, FrameDirection aDirection)
  : sessionKey_(std::move(aSessionKey))
  , direction_(aDirection)
{
}

std::string
FrameSigner::NextTag(std::string_view aFrame)
{
  std::string covered(1 + sizeof(number_), '\0');
  covered[0] = static_cast<char>(direction_);
  qToLittleEndian(number_, covered.data() + 1);
  ++number_;
  covered.append(aFrame);
  return MakeTag(sessionKey_, covered);
}

}
