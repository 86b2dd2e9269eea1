Feature: A call to the store that failed is not taken for an outage of the store
  Guards against a target that left but is kept for the time in which lapsed registrations return.

  Scenario Outline: Calls to the store, the last one confirmed at 0 ms, that end as <ends>
    When calls to the store end as <ends>
    Then they show <events>

    Examples: one call that the store cut or refused, and an answer within a heartbeat interval of 1500 ms
      | ends                                           | events    |
      | 900 cut, 1000 answered                         | no outage |
      | 900 rate-limited, 1000 answered                | no outage |
      | 900 cut, 1500 answered                         | no outage |
      | 900 cut, 950 answered, 1800 cut, 1900 answered | no outage |

    Examples: what may be the end of an outage, or is one
      | ends                                                             | events          |
      | 900 cut, 1501 answered                                           | an end          |
      | 1600 cut, 1610 answered                                          | an end          |
      | 900 cut, 1000 cut                                                | a begin         |
      | 900 cut, 1000 failed, 1100 answered                              | a begin, an end |
      | 900 cut, 1000 rate-limited, 1100 answered                        | a begin, an end |
      | 900 rate-limited, 1000 cut, 1100 answered                        | a begin, an end |
      | 900 cut, 1600 failed, 1700 cut, 1800 rate-limited, 1900 answered | a begin, an end |
      | 900 failed, 1000 answered                                        | a begin, an end |
      | 900 failed, 1000 failed, 9000 answered                           | a begin, an end |

  Scenario Outline: What another entry confirms ends an outage or a doubt
    When calls to the store end as <ends>
    And a reader says that the store responded at <confirmed_ms> ms, and a call is answered at 1200 ms
    Then they show <events>

    Examples:
      | ends       | confirmed_ms | events          |
      | 900 cut    | 1000         | no outage       |
      | 900 failed | 1000         | a begin, an end |
      | 900 failed | 800          | a begin, an end |

  Scenario Outline: Calls that fail for one entry alone are no outage, and other entries are told of none
    When calls to the store end as 900 failed
    And a reader says that the store responded at <confirmed_ms> ms, and calls end as <ends>
    Then they show <events>

    Examples:
      | confirmed_ms | ends                                    | events                                  |
      | 1000         | 1100 failed, 1200 answered              | a begin, an end, a begin, reached again |
      | 1000         | 1100 failed, 2500 answered              | a begin, an end, a begin, reached again |
      | 1000         | 1100 failed, 2501 answered              | a begin, an end, a begin, an end        |
      | 800          | 1100 failed, 1200 answered              | a begin, an end                         |

  Scenario: No outage that is longer than a heartbeat interval is missed
    Then for every series of calls an answer after a longer time without one ends an outage or follows a confirmation

  Scenario: What others confirm hides no outage that is longer than a heartbeat interval
    Then for every series of calls and confirmations an answer later than that after the last known one ends an outage

  Scenario Outline: The client of the store tells how a call ended
    Given a store that <behaviour>
    Then a watch of 300 ms ends as <end>, and a full read as <read_end>

    Examples:
      | behaviour                        | end               | read_end     |
      | closes without a response        | cut while waiting | failed       |
      | resets without a response        | cut while waiting | failed       |
      | closes within a response         | failed            | failed       |
      | sends bytes that are no response | failed            | failed       |
      | does not respond                 | failed            | failed       |
      | does not accept connections      | failed            | failed       |
      | responds with status 429         | rate-limited      | rate-limited |
      | responds with status 503         | failed            | failed       |

  Scenario Outline: A target that leaves after <fault> gets no requests after the drain time of 2 s
    Given 6 entries in 3 zones that follow a store
    When this happens after a target has registered: <fault>
    And 250 ms pass until its registration is removed
    Then every running entry is without the target within 1 s
    And the steps pass when they are run

    Examples:
      | fault                                    |
      | nothing fails                            |
      | the waiting watches are cut              |
      | the waiting watches are cut twice in 1 s |
      | calls are rate-limited for 50 ms         |
      | the calls of one reader fail for 2 s     |
      | the calls of one reader hang for 3 s     |

  Scenario Outline: A target whose registration lapsed in an outage stays usable until it registers again, <detail>
    Given 6 entries in 3 zones that follow a store
    When a target registers, and the store <outage> for 4 s, and the registration lapses <delay_s> s after its return, for 1.5 s
    Then no running entry was without the target at any time
    And the steps pass when they are run

    Examples:
      | detail                         | outage                                   | delay_s |
      | when calls fail                | is unavailable                           | 0       |
      | when calls fail, a bit late    | is unavailable                           | 0.4     |
      | when calls hang                | does not respond                         | 0       |
      | when calls hang, a bit late    | does not respond                         | 0.4     |
      | when calls hang, somewhat late | does not respond                         | 0.7     |
      | when the watches are cut first | cuts the watches and then is unavailable | 0       |
      | when the watches are cut, late | cuts the watches and then is unavailable | 0.4     |

  Scenario Outline: A registration that lapses after an outage is kept by readers that others told of its end, <detail>
    Guards against a reader that begins no time for renewals when another reader tells it that the store is back.
    Given 6 entries in 3 zones that follow a store
    When a target registers, and the store does not respond for 3 s, and then responds to one reader, 0.6 s later to all
    And <event> just before the registration lapses for 0.6 s
    Then no running entry was without the target at any time
    And the steps pass when they are run

    Examples:
      | detail                          | event                 |
      | all run                         | nothing happens       |
      | if the first one dies meanwhile | the first reader dies |

  Scenario Outline: What other entries learn of an outage ends with it, <detail>
    Guards against entries that keep a target which left because they were told of an outage late, or of no end.
    Given 6 entries in 3 zones that follow a store
    When a target registers, and the store is unavailable for 4 s, and <change> <delay_s> s after its return
    And 3 s after the return its registration is removed
    Then every running entry is without the target within 1 s
    And the steps pass when they are run

    Examples:
      | detail                            | change               | delay_s |
      | without other changes             | nothing changes      | 0       |
      | with a change soon after it       | a zone is taken out  | 0.5     |
      | with a change at its end          | a zone is taken out  | 2.2     |

  Scenario Outline: An entry that starts while registrations may return keeps those that lapsed for the time that is left
    Given a catalog whose target lapsed <elapsed_ms> ms ago, after an outage
    When an entry without any state gets its snapshot
    Then it has the target for <left_ms> ms more

    Examples:
      | elapsed_ms | left_ms |
      | 0          | 2200    |
      | 1500       | 700     |
      | 2200       | 0       |
      | 2400       | 0       |

  Scenario Outline: Readers that tell each other the time for renewals do not prolong it, <delay_ms> ms apart
    Given a ring of 3 readers, the first of which noticed the end of an outage
    When for 10 s each tells the next one the time that is left, <delay_ms> ms on the way
    Then the time of each has ended at most 500 ms later than that of the first

    Examples:
      | delay_ms |
      | 5        |
      | 50       |
      | 150      |
