#include "tamarackdrum/metrics.h"

#include <sstream>

namespace tamarackdrum {
namespace {

/// Returns \p Value as a quoted label value.
std::string quote(const std::string &Value) {
  std::string Out = "\"";
  for (const char Letter : Value) {
    if (Letter == '\\' || Letter == '"')
      Out += '\\';
    if (Letter == '\n')
      Out += "\\n";
    else
      Out += Letter;
  }
  return Out + "\"";
}

void printHeader(std::ostream &Out, const char *Name, const char *Type,
                 const char *Help) {
  Out << "# HELP " << Name << ' ' << Help << "\n# TYPE " << Name << ' ' << Type
      << '\n';
}

void printOutcomes(std::ostream &Out, const Metrics &Recorded,
                   const std::string &Process) {
  printHeader(Out, "tamarack_requests_total", "counter",
              "Requests by class, outcome and reason.");
  for (const OutcomeCount &Count : Recorded.outcomes())
    Out << "tamarack_requests_total{process=" << Process
        << ",class=" << quote(Count.m_workClass) << ",outcome=\""
        << toText(Count.m_outcome) << "\",reason=" << quote(Count.m_reason)
        << "} " << Count.m_count << '\n';
}

void printLatency(std::ostream &Out, const LatencySnapshot &Latency,
                  const std::string &Process) {
  const std::string Labels = "process=" + Process +
                             ",class=" + quote(Latency.m_workClass) +
                             ",outcome=\"" + toText(Latency.m_outcome) + "\"";
  const char *Name = "tamarack_request_seconds";
  for (std::size_t I = 0; I < Latency.m_upperSeconds.size(); ++I)
    Out << Name << "_bucket{" << Labels << ",le=\"" << Latency.m_upperSeconds[I]
        << "\"} " << Latency.m_cumulative[I] << '\n';
  Out << Name << "_bucket{" << Labels << ",le=\"+Inf\"} " << Latency.m_count
      << '\n'
      << Name << "_sum{" << Labels << "} " << Latency.m_sumSeconds << '\n'
      << Name << "_count{" << Labels << "} " << Latency.m_count << '\n';
}

template <typename Number>
void printSingle(std::ostream &Out, const char *Name, const char *Type,
                 const char *Help, const std::string &Process, Number Value) {
  printHeader(Out, Name, Type, Help);
  Out << Name << "{process=" << Process << "} " << Value << '\n';
}

} // namespace

std::string toPrometheusText(const Metrics &Recorded,
                             const std::string &Process,
                             const ProcessGauges &Gauges) {
  const std::string Quoted = quote(Process);
  std::ostringstream Out;
  printOutcomes(Out, Recorded, Quoted);
  printHeader(Out, "tamarack_request_seconds", "histogram",
              "Time from the whole request to the answer, in seconds.");
  for (const LatencySnapshot &Latency : Recorded.latencies())
    printLatency(Out, Latency, Quoted);
  printSingle(Out, "tamarack_lease_held", "gauge",
              "1 while this process may dispatch.", Quoted,
              Gauges.m_hasLease ? 1 : 0);
  printSingle(Out, "tamarack_view_generation", "gauge",
              "Generation of the view of this process.", Quoted,
              Gauges.m_generation);
  printSingle(Out, "tamarack_settled_generation", "gauge",
              "Newest generation below which no process dispatches.", Quoted,
              Gauges.m_settled);
  printSingle(Out, "tamarack_in_flight", "gauge",
              "Dispatches in flight or abandoned and not yet expired.", Quoted,
              Gauges.m_inFlight);
  printSingle(Out, "tamarack_control_refused_total", "counter",
              "Control calls refused for their key or version.", Quoted,
              Gauges.m_refusedControlCalls);
  return Out.str();
}

} // namespace tamarackdrum
