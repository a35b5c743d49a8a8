#include "Process/MetricsRoutes.h"

#include "Process/Metrics.h"
#include "Process/MetricsPage.h"
#include "Version/JsonText.h"

namespace cactusrail {

HttpAnswer
MetricsAnswer(const HttpExchange& aExchange)
{
  HttpAnswer answer;
  answer.contentType_ = kMetricsContentType;
  answer.body_ = MetricsText(Metrics::OfProcess().Snapshot(),
                             DetailOf(aExchange.Query("per")));
  return answer;
}

Result<std::unique_ptr<HttpFront>>
ListenForMetrics(const SocketAddress& aAddress)
{
  return HttpFront::Listen(aAddress.ip_,
                           aAddress.port_,
                           HttpLimits(),
                           [](const HttpExchange& aExchange) {
                             if (aExchange.Method() == "GET" &&
                                 aExchange.Path() == "/metrics") {
                               aExchange.Answer(MetricsAnswer(aExchange));
                               return;
                             }
                             HttpAnswer answer;
                             answer.status_ = 404;
                             aExchange.Answer(answer);
                           });
}

void
AddMetricsRoutes(OperatorRoutes& aRoutes, const std::function<void()>& aRefresh)
{
  aRoutes.Add("GET", "/metrics", [aRefresh](const HttpExchange& aExchange) {
    aRefresh();
    aExchange.Answer(MetricsAnswer(aExchange));
  });
  aRoutes.Add("GET", "/v1/metrics", [aRefresh](const HttpExchange& aExchange) {
    aRefresh();
    HttpAnswer answer;
    answer.body_ = ToJson(Metrics::OfProcess().Snapshot()) + "\n";
    aExchange.Answer(answer);
  });
}

}
