// Engines of a service whose models span several workers, as the users' pages
// describe them: reports, orders, groups and streams.
#pragma once

#include "site.h"

namespace review {

/// A way in which one engine is in trouble.
struct engine_trouble {
  /// The engine; none if empty.
  std::string engine;
  /// A report that it has answered is answered a second time, late: in the
  /// place of the next answer on that connection, if that is one to an order
  /// of this kind.
  std::string surplus_before;
  /// That order gets no answer of its own and is carried out this much later.
  double late_s = 0;
};

class engines {
 public:
  engines(store& in, recorder& to, std::string model_name, int size)
      : platform(in),
        record(to),
        model(std::move(model_name)),
        group_size(size) {}
  ~engines() {
    over = true;
    for (auto& [id, e] : all) e->http.reset();
    for (;;) {
      std::vector<std::thread> left;
      {
        const std::lock_guard lock(timer_mutex);
        left.swap(timers);
      }
      if (left.empty()) break;
      for (auto& t : left) t.join();
    }
    all.clear();
  }

  static constexpr double load_s = 1.0;
  static constexpr double warm_s = 0.4;
  static constexpr double rejoin_s = 0.2;
  static constexpr double form_s = 0.3;
  static constexpr double stall_s = 5.0;
  static constexpr double event_s = 0.1;
  static constexpr int events = 27;
  static constexpr double beat_s = 1.2;

  static json service(const std::string& model, int size) {
    return {{"name", "lm"},
            {"health_path", "/health"},
            {"max_conns", 474},
            {"protocol", "h1"},
            {"tls", false},
            {"engine",
             {{"slots", 26},
              {"kv_capacity", 1400000},
              {"stride", 5},
              {"step_ms", 6.07},
              {"per_seq_ms", 0.241},
              {"context_per_k", 0.00488},
              {"read_per_s", 46000.0},
              {"pairs_per_m", 0.7},
              {"chunk", 2048},
              {"report_lag_ms", 200.0},
              {"loads_per_s", 4.0},
              {"loads_at_once", 6},
              {"keeps", 1},
              {"far_x", 3.0},
              {"form_ms", form_s * 1000},
              {"usual", {{"prompt", 1076}, {"answer", 116}}},
              {"models",
               {{{"name", model},
                 {"size", size},
                 {"share", 1.0},
                 {"pace", 1.0},
                 {"load_s", load_s},
                 {"warm_s", warm_s}}}}}}};
  }

  bool add(const std::string& id, const address& at) {
    auto e = std::make_unique<engine>();
    e->id = id;
    e->at = at;
    engine* const added = e.get();
    {
      const std::lock_guard lock(mutex);
      all[id] = std::move(e);
      publish(*added);
    }
    added->http = std::make_unique<server>(
        at, [this, added](connection& c) { serve(*added, c); });
    return added->http->listening();
  }

  /// It ends without a word. Its entry goes after three status reports.
  void crash(const std::string& id) {
    engine& e = *all.at(id);
    {
      const std::lock_guard lock(mutex);
      e.alive = false;
      record.write(id + " crashes");
    }
    e.http.reset();
    after(3 * beat_s, [this, id] { platform.remove("servers", id); });
  }

  /// Another writer puts an entry under an engine's id: its address is right,
  /// but `born` and all that tells of models and groups is missing.
  void put_foreign_entry(const std::string& id) {
    const std::lock_guard lock(mutex);
    platform.put("servers", id,
                 {{"service", "lm"},
                  {"addr", all.at(id)->at.text()},
                  {"zone", "hall-a"},
                  {"version", "v1"},
                  {"slots", 26},
                  {"state", "ready"},
                  {"cold_left_ms", 0},
                  {"domain", "d1"},
                  {"seq", 1}});
  }
  /// Each engine writes its entry.
  void beat() {
    const std::lock_guard lock(mutex);
    for (const auto& [id, e] : all) {
      if (e->alive) publish(*e);
    }
  }

  /// Ids of the members of an open group, its head first; empty if there is
  /// none.
  std::vector<std::string> open_group() {
    const std::lock_guard lock(mutex);
    for (const auto& [id, e] : all) {
      if (e->alive && e->state == "open") return e->members;
    }
    return {};
  }

  void set_trouble(engine_trouble next) {
    const std::lock_guard lock(mutex);
    trouble = std::move(next);
  }

  /// Joins that were taken while the head of the worker's own group was open or
  /// closing.
  std::atomic<int> broken_joins = 0;
  std::atomic<int> surplus_answers = 0;

 private:
  struct engine {
    std::string id;
    address at;
    bool alive = true;
    int64_t seq = 0;
    int64_t max_epoch = 0;
    int64_t born = 1764968400000;
    bool busy = false;
    std::string staged;
    std::string last_model;
    std::string group;
    int64_t epoch = 0;
    int rank = 0;
    /// joining, ready, open, closing or broken; empty if in no group.
    std::string state;
    std::vector<std::string> members;
    int running = 0;
    /// Raised by each change of membership: ends what was under way.
    int64_t turn = 0;
    double stalled_since = -1;
    std::unique_ptr<server> http;
  };

  json group_of(const engine& e) const {
    if (e.state.empty()) return nullptr;
    return {{"name", e.group},
            {"epoch", e.epoch},
            {"rank", e.rank},
            {"state", e.state}};
  }
  json models_of(const engine& e) const {
    json out = json::array();
    if (!e.state.empty() && e.state != "joining")
      out.push_back(
          {{"name", model}, {"version", 1}, {"adapters", json::array()}});
    return out;
  }
  json staged_of(const engine& e) const {
    return e.staged.empty() ? json::array() : json::array({e.staged});
  }

  void publish(const engine& e) {
    json spec = {{"service", "lm"},
                 {"addr", e.at.text()},
                 {"zone", "hall-a"},
                 {"version", "v1"},
                 {"slots", 26},
                 {"state", "ready"},
                 {"cold_left_ms", 0},
                 {"born", e.born},
                 {"seq", 1},
                 {"stage", "hybrid"},
                 {"domain", "d1"},
                 {"staged", staged_of(e)},
                 {"models", models_of(e)}};
    const json group = group_of(e);
    if (!group.is_null()) spec["group"] = group;
    platform.put("servers", e.id, spec);
  }

  void after(double seconds, std::function<void()> act) {
    const std::lock_guard lock(timer_mutex);
    timers.emplace_back([this, until = now_s() + seconds, act] {
      while (!over && now_s() < until) sleep_s(0.005);
      if (!over) act();
    });
  }

  /// Whether all members of a head's group are still in it.
  bool complete(const engine& head) const {
    for (const auto& id : head.members) {
      const engine& m = *all.at(id);
      if (!m.alive || m.group != head.group || m.epoch != head.epoch ||
          m.state.empty())
        return false;
    }
    return true;
  }

  void check_stall(engine& e) {
    if (e.state != "open" && e.state != "closing") return;
    if (complete(e)) return;
    if (e.stalled_since < 0) e.stalled_since = now_s();
    if (now_s() - e.stalled_since < stall_s) return;
    e.state = "broken";
    record.write(e.id + " is broken");
    publish(e);
  }

  /// Carries out an order. Returns the status of its answer.
  int execute(engine& e, const json& order) {
    const std::string op = order.value("op", "");
    if (order.contains("expect_rev") && order["expect_rev"] != e.seq)
      return 409;
    const std::string group = order.value("group", "");
    const int64_t epoch = order.value("epoch", int64_t{0});
    const bool member =
        !e.state.empty() && e.group == group && e.epoch == epoch;
    if (op == "stage") {
      ++e.seq;
      e.busy = true;
      const std::string wanted = order.value("model", "");
      after(load_s, [this, &e, wanted] {
        const std::lock_guard lock(mutex);
        e.staged = wanted;
        e.busy = false;
        publish(e);
      });
      return 202;
    }
    if (op == "join") {
      const auto members = order.value("members", std::vector<std::string>());
      if (epoch < e.max_epoch || (member && members != e.members)) return 412;
      if (member) return 200;
      check_join(e, group);
      ++e.seq;
      const bool loads = e.staged.empty() && e.last_model != model;
      const double time = e.last_model == model ? rejoin_s
                          : loads               ? load_s
                                                : warm_s;
      if (loads) e.staged = model;
      e.max_epoch = epoch;
      e.group = group;
      e.epoch = epoch;
      e.members = members;
      e.rank = static_cast<int>(
          std::find(members.begin(), members.end(), e.id) - members.begin());
      e.state = "joining";
      e.last_model = model;
      e.stalled_since = -1;
      const int64_t turn = ++e.turn;
      publish(e);
      after(time, [this, &e, turn] {
        const std::lock_guard lock(mutex);
        if (e.turn != turn || e.state != "joining") return;
        e.state = "ready";
        publish(e);
      });
      return 202;
    }
    if (!member) return 409;
    if (op == "open") {
      if (e.rank != 0 || e.state != "ready") return 409;
      ++e.seq;
      const int64_t turn = ++e.turn;
      after(form_s, [this, &e, turn] {
        const std::lock_guard lock(mutex);
        if (e.turn != turn) return;
        e.state = "open";
        record.write(e.id + " opens " + e.group);
        publish(e);
      });
      return 202;
    }
    if (op == "close") {
      if (e.state != "open") return 409;
      ++e.seq;
      e.state = "closing";
      const int64_t turn = ++e.turn;
      publish(e);
      after(0.05, [this, &e, turn] { end_closing(e, turn); });
      return 202;
    }
    if (op == "leave") {
      ++e.seq;
      ++e.turn;
      record.write(e.id + " leaves " + e.group + " (" + e.state + ")");
      e.group.clear();
      e.state.clear();
      e.members.clear();
      e.epoch = 0;
      publish(e);
      return 200;
    }
    return 400;
  }

  void end_closing(engine& e, int64_t turn) {
    const std::lock_guard lock(mutex);
    if (e.turn != turn || e.state != "closing") return;
    if (e.running > 0) {
      after(0.05, [this, &e, turn] { end_closing(e, turn); });
      return;
    }
    e.state = "ready";
    publish(e);
  }

  void check_join(const engine& e, const std::string& next) {
    if (e.state.empty() || e.group == next) return;
    const auto found = all.find(e.members.front());
    const engine& head = *found->second;
    const bool serves = head.alive && head.group == e.group &&
                        head.epoch == e.epoch &&
                        (head.state == "open" || head.state == "closing");
    record.write(e.id + " takes a join of " + next + "; the head " + head.id +
                 " of its own group " + e.group + " is " +
                 (head.group != e.group ? "gone from it" : head.state) +
                 (serves && !complete(head) ? " and stands still" : ""));
    if (serves) ++broken_joins;
  }

  void serve(engine& e, connection& c) {
    std::string last_report;
    while (const auto in = c.read()) {
      const std::string expected = in->header("x-expect-instance");
      const std::string target = in->target();
      std::string out;
      if (!expected.empty() && expected != e.id) {
        out = response(421, "", "X-Instance-Id: " + e.id + "\r\n");
      } else if (target == "/spokesail/report") {
        const std::lock_guard lock(mutex);
        if (!e.alive) return;
        check_stall(e);
        json report = {{"stage", "hybrid"},     {"models", models_of(e)},
                       {"busy", e.busy},        {"seq", e.seq},
                       {"waiting", 0},          {"running", e.running},
                       {"kv_used", 0},          {"kv_total", 1400000},
                       {"handles", 0},          {"pace", 1.0},
                       {"born", e.born},        {"domain", "d1"},
                       {"staged", staged_of(e)}};
        const json group = group_of(e);
        if (!group.is_null()) report["group"] = group;
        out = last_report =
            response(200, report.dump(), "Content-Type: application/json\r\n");
      } else if (target == "/spokesail/order") {
        const json order = json::parse(in->body, nullptr, false);
        const std::lock_guard lock(mutex);
        if (!e.alive) return;
        const std::string op = order.value("op", "");
        if (trouble.engine == e.id && trouble.surplus_before == op) {
          record.write(e.id + " gets the order " + op + " of " +
                       order.value("group", "") + ", carried out later" +
                       (last_report.empty()
                            ? ""
                            : "; a surplus answer to a report comes first"));
          after(trouble.late_s, [this, &e, order] {
            const std::lock_guard late(mutex);
            if (!e.alive) return;
            const int status = execute(e, order);
            record.write(
                e.id + " carries out a late order: " + std::to_string(status));
          });
          if (last_report.empty()) continue;
          ++surplus_answers;
          out = last_report;
        } else {
          const int status = execute(e, order);
          record.write(e.id + " order " + op + " " + order.value("group", "") +
                       " seq " + std::to_string(e.seq) + ": " +
                       std::to_string(status));
          out = response(status, "{}");
        }
      } else {
        if (!stream(e, c, *in)) return;
        continue;
      }
      if (!c.write(out)) return;
    }
  }

  bool stream(engine& e, connection& c, const message& in) {
    const std::string id = in.header("x-request-id");
    const std::string same_id = "X-Request-Id: " + id + "\r\n";
    {
      const std::lock_guard lock(mutex);
      if (!e.alive) return false;
      check_stall(e);
      if (e.rank != 0 || e.state != "open") {
        const int status = e.state == "broken" ? 503 : 421;
        return c.write(response(status, "", same_id + "X-Not-Executed: 1\r\n"));
      }
      ++e.running;
    }
    bool whole = c.write("HTTP/1.1 200 OK\r\n" + same_id +
                         "X-Response-Stamp: " + e.id + "." + id +
                         "\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
    const std::string last = in.header("last-event-id");
    for (int i = last.empty() ? 0 : std::atoi(last.c_str()) + 1;
         whole && i < events;) {
      sleep_s(event_s);
      const std::lock_guard lock(mutex);
      check_stall(e);
      const bool serves = e.state == "open" || e.state == "closing";
      if (!e.alive || !serves) {
        whole = false;
      } else if (complete(e)) {
        const std::string event =
            "id: " + std::to_string(i++) + "\ndata: tokens\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        whole = c.write(size + event + "\r\n");
      }
    }
    if (whole) whole = c.write("0\r\n\r\n");
    const std::lock_guard lock(mutex);
    --e.running;
    return whole;
  }

  store& platform;
  recorder& record;
  const std::string model;
  const int group_size;
  std::recursive_mutex mutex;
  std::map<std::string, std::unique_ptr<engine>> all;
  engine_trouble trouble;
  std::atomic<bool> over = false;
  std::mutex timer_mutex;
  std::vector<std::thread> timers;
};

}  // namespace review
