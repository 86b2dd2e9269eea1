Feature: A version is rolled out, or rolled back if it is bad

  Scenario Outline: An order that cannot be read is skipped with a log line: <order>
    Guards against an entry that fails, or that follows half an order.
    Then the item "op/rollout/s" with <order> gives no change and a log line

    Examples:
      | order                                                      |
      | {"service":"s","targetVersion":"v2"                        |
      | {"service":"s","durationS":12}                             |
      | {"service":"s","targetVersion":"","durationS":12}          |
      | {"service":"s","targetVersion":2,"durationS":12}           |
      | {"service":"s","targetVersion":"v2"}                       |
      | {"service":"s","targetVersion":"v2","durationS":0}         |
      | {"service":"s","targetVersion":"v2","durationS":true}      |
      | {"service":"t","targetVersion":"v2","durationS":12}        |
      | []                                                         |

  Scenario: Orders, phases and versions are read, and relayed to entries without a state
    Guards against readers that drop them from snapshots, and entries that keep removed ones.
    Then an order, its phase and the version of a target reach another entry in a snapshot
    And a snapshot without them removes them
    And a registration without a version has the empty one

  Scenario: A phase and its status are written together, on condition of the phase and the order
    Guards against two leads that overwrite each other, and a status that the platform cannot read.
    Then a write expects the revisions of the phase and the order, and a conflict is reported
    And the status has exactly a state and a target version for each phase

  Scenario Outline: <phase>: a request with the number <draw> may go to <allowed>
    Guards against requests on a version that no order allows.
    Given 30 old targets, and new targets that are <new>
    Then in the phase "<phase>" a request with the number <draw> may go to <allowed>

    Examples:
      | phase       | draw | new      | allowed   |
      | ordered     | 0.00 | warm     | 30 old    |
      | trial       | 0.05 | warm     | 2 new     |
      | trial       | 0.06 | warm     | 30 old    |
      | trial       | 1.00 | warm     | 30 old    |
      | trial       | 0.05 | cold     | 30 old    |
      | trial       | 0.05 | missing  | 30 old    |
      | shift       | 1.00 | warm     | 30 new    |
      | shift       | 0.00 | cold     | 30 old    |
      | completed   | 1.00 | warm     | 30 new    |
      | completed   | 1.00 | cold     | 30 new    |
      | rolled_back | 0.00 | warm     | 30 old    |

  Scenario: No old target is left
    Guards against a share of the new version that grows when old targets fail.
    Then without usable old targets, 0.06 of the requests of a trial may go to new ones
    And without registered old targets, all requests may
    And after a rollback, none may

  Scenario: All entries use the same canaries, for the share of the requests that they can take
    Guards against canaries with so little load that faults under load stay hidden.
    Then for any targets, all entries choose the same canaries with the load of an old target

  Scenario Outline: The verdict on <old> against <new> is <verdict>
    Guards against condemning good versions, and against passing bad ones.
    Then the verdict on <new> is <verdict> if the old version had <old>

    Examples: responses/failures/slow ones by route
      | old                    | new                | verdict   |
      | a 300/3/9              | a 10/0/0           | good      |
      | a 300/3/9              | a 5/0/0            | undecided |
      | a 300/3/9              | a 10/5/0           | bad       |
      | a 300/3/9              | a 10/0/5           | bad       |
      | a 300/3/9              | a 60/24/0          | bad       |
      | a 300/60/0             | a 40/8/0           | good      |
      | a 300/60/0             | a 40/22/0          | bad       |
      | a 300/0/150            | a 40/0/22          | good      |
      | a 300/3/9              | a 2/2/0            | undecided |
      | a 300/3/9, b 100/1/3   | a 20/0/0           | undecided |
      | a 300/3/9, b 100/1/3   | a 20/0/0, b 8/0/0  | good      |
      | a 300/3/9, b 100/1/3   | a 40/0/0, b 9/4/0  | bad       |

  Scenario: Faults that begin late are seen although many good responses came before
    Guards against a verdict on all responses, which takes ten times as many bad ones.
    Then 15 bad responses after 300 good ones are enough for a verdict
    And a fleet that is slow for a moment is not

  Scenario: Sums stay right when entries restart, and reports come twice or late
    Guards against counts that shrink, or that are added up twice.
    Then for any order of reports, the sums are those of the latest report of each run

  Scenario Outline: <verdict> in the <phase> at <age> s with <exposed> exposed and <entries>: <next>
    Guards against a shift without evidence or too late, and against a lead of a minority.
    Then "<verdict>" in the "<phase>" at <age> s, <exposed> exposed and <entries> leads to "<next>"

    Examples: an order of 12 s with 100 requests a second, whose shift began at 8.6 s
      | phase | verdict   | age  | exposed | entries  | next        |
      | trial | bad       | 5.0  | 10      | few      | rolled_back |
      | trial | suspect   | 8.0  | 30      | all      | trial       |
      | trial | good      | 8.0  | 30      | all      | trial       |
      | trial | good      | 8.4  | 30      | all      | shift       |
      | trial | good      | 8.4  | 30      | few      | trial       |
      | trial | undecided | 8.7  | 30      | all      | trial       |
      | trial | undecided | 9.2  | 30      | all      | rolled_back |
      | trial | good      | 9.2  | 30      | all      | rolled_back |
      | shift | bad       | 9.0  | 60      | few      | rolled_back |
      | shift | suspect   | 8.8  | 10      | all      | shift       |
      | shift | suspect   | 9.6  | 110     | all      | rolled_back |
      | shift | good      | 11.0 | 300     | all      | shift       |
      | shift | good      | 11.1 | 300     | all      | completed   |
      | shift | good      | 11.1 | 300     | few      | shift       |
      | shift | undecided | 11.5 | 300     | all      | shift       |
      | shift | undecided | 11.7 | 300     | all      | rolled_back |
      | shift | good      | 11.7 | 300     | few      | rolled_back |

  Scenario Outline: A good version whose entries have <moved> at <age> s: <next>
    Guards against old targets that stop while an entry still sends to them.
    Then a good version in the shift whose entries have <moved> at <age> s is <next>

    Examples: an order of 12 s whose shift began at 8.6 s
      | moved       | age  | next      |
      | moved       | 11.1 | completed |
      | not moved   | 11.1 | shift     |
      | not moved   | 11.5 | shift     |
      | not moved   | 11.6 | completed |

  Scenario: A shift ends before the deadline whenever it began
    Guards against a good version that is rolled back because its shift began late.
    Then for any order and any time of the shift, a good version is completed before the deadline

  Scenario Outline: A lead that sees the shift late, with an entry that <report>: <written>
    Guards against a shift whose time begins when the lead sees it, and against entries left behind.
    Then a lead that sees a shift 3 s late, linked to an entry that <report>, writes <written>

    Examples:
      | report                                  | written   |
      | follows the shift                       | completed |
      | is in the ramp                          | nothing   |
      | waits for a response of the old version | nothing   |
      | did not report                          | nothing   |

  Scenario: An entry that joins in the shift skips the ramp
    Guards against an entry that sends to old targets until they stop.
    Then in the shift, an entry that joined sends all requests to the new version
    And one that saw the trial begins with a part of them

  Scenario: Attempts to old targets are in flight until they end
    Guards against old targets that stop before they respond to requests from before the order.
    Then an attempt to an old target that began before the order is in flight until it ends

  Scenario Outline: A good version with too few targets in the <phase> at <age> s: <next>
    Guards against requests that move to targets which cannot take them.
    Then a good version with too few targets in the "<phase>" at <age> s is <next>

    Examples: an order of 12 s whose shift began at 8.6 s
      | phase | age  | next        |
      | trial | 8.4  | trial       |
      | trial | 9.2  | rolled_back |
      | shift | 11.1 | shift       |
      | shift | 11.6 | rolled_back |

  Scenario Outline: <new> of 10 new targets that are <state>, beside 10 old ones: <result>
    Guards against new targets that count although they get no requests.
    Then with <new> of 10 new targets that are <state>, beside 10 old ones, there is <result>

    Examples:
      | new | state    | result      |
      | 8   | warm     | room        |
      | 7   | warm     | no room     |
      | 10  | cold     | no room     |
      | 10  | draining | no room     |

  Scenario: A second order after a restored store knows the end of the first one
    Guards against a lead that lets a rolled-back version serve as the old one.
    Then after a restored store, lead and entries reject the version that was rolled back

  Scenario Outline: An order withdrawn in the trial, with <registered> registered: <served>
    Guards against requests on an earlier rejected version when an order is withdrawn.
    Then after an order is withdrawn in the trial, with targets of <registered>, requests go to <served>

    Examples: an order for v2 after one for v0 that was rolled back
      | registered | served |
      | v0 v1 v2   | v1 v2  |
      | v0 v2      | v2     |
      | v0         | v0     |

  Scenario Outline: An attempt that ends as <outcome> with "<reason>" counts as <counted>
    Guards against slow versions whose callers give up before their responses count.
    Then an attempt of 8 s that ends as <outcome> with "<reason>" counts as <counted>

    Examples:
      | outcome    | reason                          | counted     |
      | success    | none                            | slow        |
      | unanswered | no response in time             | failed      |
      | unanswered | the caller closed its connection | slow       |
      | superseded | another target answered first   | slow        |
      | not-run    | none                            | nothing     |

  Scenario: A lost final phase is written again once a second
    Guards against a write by every check for as long as the store does not take it.
    Then a lead that checks 20 times in 2 s writes a lost final phase 2 times

  Scenario: The final phase of another order in a restored store counts as lost
    Guards against a store that names the end of an earlier order for good.
    Then a final phase is lost if the store has the same phase of an earlier order

  Scenario Outline: A <verdict> version without another one, in the <phase> at <age> s: <next>
    Guards against a rollback of the version that the service runs, after which nothing serves it.
    Then a "<verdict>" version, <new>, without another one in the "<phase>" at <age> s is <next>

    Examples: an order of 12 s
      | phase | verdict   | age  | new     | next      |
      | trial | bad       | 1.0  | present | trial     |
      | trial | undecided | 2.9  | present | trial     |
      | trial | bad       | 3.0  | present | completed |
      | trial | undecided | 3.0  | present | completed |
      | trial | undecided | 9.2  | missing | trial     |
      | trial | bad       | 13.0 | missing | trial     |
      | shift | bad       | 9.0  | present | completed |
      | shift | suspect   | 11.9 | present | completed |

  Scenario: A short order for the only version is not rolled back
    Guards against a deadline that passes before an entry may be sure that no other version runs.
    Then an order of 3 s for the only version is in the trial at 2 s, and completed at 3 s

  Scenario Outline: After "<earlier>" and <order>, with <registered> registered: <served>
    Guards against a service whose requests get no target until the next order.
    Then after "<earlier>" and <order>, with targets of <registered>, requests go to <served>

    Examples: an earlier rollout of v2 from v1, after one of v0 that was rolled back
      | earlier     | order        | registered | served |
      | rolled_back | no order     | v1 v2      | v1     |
      | rolled_back | no order     | v2         | v2     |
      | rolled_back | no order     | v0 v2      | v0 v2  |
      | rolled_back | no order     | v0 v1      | v1     |
      | rolled_back | no order     | v0         | v0     |
      | completed   | no order     | v1 v2      | v2     |
      | completed   | no order     | v1         | v1     |
      | completed   | no order     | v0         | v0     |
      | rolled_back | order for v3 | v1 v2      | v1     |
      | rolled_back | order for v3 | v2         | v2     |
      | rolled_back | order for v3 | v2 v3      | v3     |
      | rolled_back | order for v1 | v1 v2      | v1     |
      | rolled_back | order for v2 | v2         | v2     |
      | completed   | order for v2 | v2         | v2     |
      | completed   | order for v2 | v1 v2      | v1     |

  Scenario: Without any target, no target of another version counts
    Guards against a rollback at the deadline because the targets register late.
    Then without targets, no old version counts, whichever versions are rejected

  Scenario: A lead keeps only rejected versions that are still registered
    Guards against versions that stay refused for ever although their rollback is long over.
    Then of the rejected versions v0 and v2, a lead keeps v2 if only v1 and v2 are registered

  Scenario Outline: A completed version that is ordered again with <registered> is <begun>
    Guards against an order that completes without a trial although requests have to move.
    Then a lead writes "<begun>" for the completed version with targets of <registered>

    Examples:
      | registered | begun     |
      | v2         | completed |
      | v1 v2      | trial     |

  Scenario Outline: A version with <fault> at <per_s> requests a second
    Guards against more requests of a bad version than allowed, and good ones that never complete.
    Then of <runs> rollouts, at least <expected> end as <end> within the bounds

    Examples: the bounds are 0.1 of the requests + 50, and 5 s after the 50th bad response
      | fault                     | per_s | runs | expected | end         |
      | no fault                  | 44    | 12   | 8        | completed   |
      | no fault                  | 188   | 6    | 6        | completed   |
      | failures at once          | 44    | 12   | 12       | rolled_back |
      | failures at once          | 188   | 6    | 6        | rolled_back |
      | slow responses at once    | 44    | 12   | 12       | rolled_back |
      | slow responses at once    | 188   | 6    | 6        | rolled_back |
      | failures after 6 s        | 44    | 12   | 12       | rolled_back |
      | failures after 6 s        | 188   | 6    | 6        | rolled_back |
      | failures in the shift     | 44    | 12   | 12       | rolled_back |
      | failures in the shift     | 188   | 6    | 6        | rolled_back |
      | failures on one route     | 44    | 12   | 12       | rolled_back |
      | failures on one route     | 188   | 6    | 6        | rolled_back |

  Scenario Outline: <phase>: a request whose first choice is <first> is served by <served>
    Guards against retries that raise the share of the new version.
    Given a gateway with two old targets, and two new ones that fail
    Then in the phase "<phase>" requests with the number <draw> get <status> and are sent to <sent>

    Examples:
      | phase       | draw | first | served  | status | sent                |
      | trial       | 0.0  | new   | the old | 200    | new once, old once  |
      | trial       | 0.5  | old   | the old | 200    | old once            |
      | rolled_back | 0.0  | old   | the old | 200    | old once            |
      | completed   | 0.5  | new   | nobody  | 500    | new twice           |

  Scenario: A lead that was frozen does not decide on what it knew
    Guards against a rollback by a lead whose reports are from before it was frozen.
    Then a lead that made no check for a while writes nothing until its reports are new

  Scenario Outline: A lead skips an order that is <change> while it writes another phase
    Guards against a lead task that ends with an error, and writes for an order that has ended.
    Then a lead that writes a <kind> phase skips an order that is <change> during the write

    Examples:
      | kind  | change    |
      | first | withdrawn |
      | first | replaced  |
      | lost  | withdrawn |
      | lost  | replaced  |

  Scenario: A request that began before the order goes to the old version
    Guards against canaries that get all waiting requests and retries of earlier requests.
    Then a request without an order has the number 1

  Scenario: The final phase of a second order is kept if it is read before the order
    Guards against entries that report on an ended rollout, and that drop its end with the store.
    Then the phase "rolled_back" of a second order stays if it arrives before its order

  Scenario Outline: Four entries roll out a version that is <quality>, and <event>
    Guards against rollouts that end with the lead, and against decisions that are lost.
    Given four entries and a store
    When a version that is <quality> is ordered, and <event>
    Then the rollout ends as <end>, and entries send requests only to the <version> version

    Examples:
      | quality | event                                      | end         | version |
      | good    | nothing happens                            | completed   | new     |
      | bad     | nothing happens                            | rolled_back | old     |
      | good    | the lead is killed in the trial            | completed   | new     |
      | good    | the lead is killed in the shift            | completed   | new     |
      | bad     | the lead is killed in the trial            | rolled_back | old     |
      | good    | the response to each write is lost         | completed   | new     |
      | bad     | the store returns from a copy of the trial | rolled_back | old     |
      | good    | the order is withdrawn in the trial        | withdrawn   | any     |

  Scenario: Without an order, entries open no link and send no report
    Given four entries and a store
    Then without an order no entry is linked to a lead
