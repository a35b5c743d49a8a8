#include "Process/LogLine.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace cactusrail {

namespace {

/** Replaces control characters, so that an external value can't forge a line.
 */
std::string
ReplaceControlCharacters(std::string_view aText)
{
  std::string line(aText);
  std::replace_if(
    line.begin(),
    line.end(),
    [](char aChar) { return static_cast<unsigned char>(aChar) < ' '; },
    ' ');
  return line;
}

QString
ToQt(std::string_view aText)
{
  return QString::fromUtf8(aText.data(), static_cast<qsizetype>(aText.size()));
}

}

std::string
PlainLogLine(const LogHead& aHead, std::span<const LogField> aFields)
{
  std::string line(aHead.time_);
  for (const std::string_view part :
       { aHead.level_, aHead.process_, aHead.event_ }) {
    line += ' ';
    line += part;
  }
  for (const auto& [name, value] : aFields) {
    line += ' ';
    line += name;
    line += '=';
    line += ReplaceControlCharacters(value);
  }
  return line;
}

std::string
JsonLogLine(const LogHead& aHead, std::span<const LogField> aFields)
{
  QJsonObject object;
  for (const auto& [name, value] : aFields) {
    object.insert(ToQt(name), ToQt(value));
  }
  object.insert(QStringLiteral("time"), ToQt(aHead.time_));
  object.insert(QStringLiteral("process"), ToQt(aHead.process_));
  object.insert(QStringLiteral("level"), ToQt(aHead.level_));
  object.insert(QStringLiteral("event"), ToQt(aHead.event_));
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}
