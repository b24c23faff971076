#include "limit-check.h"

#include <algorithm>
#include <map>
#include <utility>

namespace tamarackdrum::soak {
namespace {

using Instance = std::pair<std::string, std::int64_t>;

/// Checks one instance of a server.
class InstanceCheck {
public:
  InstanceCheck(std::vector<const HostArrival *> Arrivals,
                std::vector<const LimitRecord *> Limits,
                const ExcuseCheck &IsExcused, const LimitBounds &Bounds)
      : m_arrivals(std::move(Arrivals)), m_limits(std::move(Limits)),
        m_isExcused(IsExcused), m_bounds(Bounds) {
    for (const HostArrival *Item : m_arrivals) {
      const ArrivalRecord &Seen = Item->m_arrival;
      if (!Seen.m_limit || Seen.m_answeredAt == TimePoint{})
        continue;
      const auto [Told, IsNew] =
          m_toldAt.emplace(Item->m_host, Seen.m_answeredAt);
      if (!IsNew)
        Told->second = std::min(Told->second, Seen.m_answeredAt);
    }
  }

  std::optional<LimitExcess> firstExcess() const {
    for (const HostArrival *Last : m_arrivals) {
      const std::optional<Window> Judged = windowUntil(Last->m_arrival.m_at);
      if (!Judged)
        continue;
      const std::size_t Count = countIn(*Judged);
      if (static_cast<double>(Count) > Judged->m_allowed)
        return LimitExcess{Last->m_arrival.m_server, Last->m_arrival.m_at,
                           Count, Judged->m_allowed};
    }
    return std::nullopt;
  }

private:
  /// A window in which requests are counted.
  struct Window {
    TimePoint m_from; ///< Not counted itself.
    TimePoint m_end;
    double m_allowed = 0;
  };

  /// Returns the window that ends at \p End; nothing if no limit holds then.
  std::optional<Window> windowUntil(TimePoint End) const {
    const TimePoint From = End - m_bounds.m_window - m_bounds.m_afterTelling;
    double Highest = 0;
    double Current = 0;
    std::optional<TimePoint> NamedSince;
    for (const LimitRecord *Item : m_limits) {
      if (Item->m_at > End)
        break;
      if (Item->m_at > From && NamedSince)
        Highest = std::max(Highest, Current);
      Current = Item->m_limit.value_or(0);
      if (!Item->m_limit)
        NamedSince.reset();
      else if (!NamedSince)
        NamedSince = Item->m_at;
    }
    if (!NamedSince || End < *NamedSince + m_bounds.m_afterNaming)
      return std::nullopt;
    const double Seconds =
        std::chrono::duration<double>(m_bounds.m_window).count();
    const double Allowed =
        std::max(Highest, Current) * m_bounds.m_factor * Seconds +
        m_bounds.m_extra;
    return Window{std::max(End - m_bounds.m_window,
                           *NamedSince + m_bounds.m_afterTelling),
                  End, Allowed};
  }

  std::size_t countIn(const Window &Judged) const {
    return static_cast<std::size_t>(std::count_if(
        m_arrivals.begin(), m_arrivals.end(), [&](const HostArrival *Item) {
          return Item->m_arrival.m_at > Judged.m_from &&
                 Item->m_arrival.m_at <= Judged.m_end && isCounted(*Item);
        }));
  }

  bool isCounted(const HostArrival &Item) const {
    const auto Told = m_toldAt.find(Item.m_host);
    return Told != m_toldAt.end() &&
           Told->second + m_bounds.m_afterTelling <= Item.m_arrival.m_at &&
           !m_isExcused(Item.m_host,
                        Item.m_arrival.m_at - m_bounds.m_afterExcuse,
                        Item.m_arrival.m_at);
  }

  const std::vector<const HostArrival *> m_arrivals; ///< By time.
  const std::vector<const LimitRecord *> m_limits;   ///< By time.
  const ExcuseCheck &m_isExcused;
  const LimitBounds &m_bounds;
  std::map<std::size_t, TimePoint> m_toldAt; ///< By host.
};

} // namespace

std::vector<LimitExcess>
findLimitExcesses(std::vector<HostArrival> Arrivals,
                  const std::vector<LimitRecord> &Limits,
                  const ExcuseCheck &IsExcused, const LimitBounds &Bounds) {
  std::stable_sort(Arrivals.begin(), Arrivals.end(),
                   [](const HostArrival &A, const HostArrival &B) {
                     return A.m_arrival.m_at < B.m_arrival.m_at;
                   });
  std::map<Instance, std::vector<const LimitRecord *>> LimitsOf;
  for (const LimitRecord &Item : Limits)
    LimitsOf[{Item.m_server, Item.m_serverStartMs}].push_back(&Item);
  std::map<Instance, std::vector<const HostArrival *>> ArrivalsOf;
  for (const HostArrival &Item : Arrivals)
    ArrivalsOf[{Item.m_arrival.m_server, Item.m_arrival.m_serverStartMs}]
        .push_back(&Item);
  std::vector<LimitExcess> Out;
  for (const auto &[Server, Named] : LimitsOf) {
    const InstanceCheck Check(ArrivalsOf[Server], Named, IsExcused, Bounds);
    if (const std::optional<LimitExcess> Found = Check.firstExcess())
      Out.push_back(*Found);
  }
  return Out;
}

} // namespace tamarackdrum::soak
